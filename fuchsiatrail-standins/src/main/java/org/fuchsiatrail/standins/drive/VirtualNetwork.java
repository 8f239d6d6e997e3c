package org.fuchsiatrail.standins.drive;

import java.util.SplittableRandom;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.standins.model.StoreModel;

/** Delivers messages between routers and calls to the store; the faults delay, duplicate or drop them. */
final class VirtualNetwork {

    private static final long STORE_DELAY_MILLIS = 2;

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Faults faults;
    private final StoreModel store;
    private final long domainDistanceMillis;

    VirtualNetwork(
            VirtualTime time, SplittableRandom random, Faults faults, StoreModel store, long domainDistanceMillis) {
        this.time = time;
        this.random = random;
        this.faults = faults;
        this.store = store;
        this.domainDistanceMillis = domainDistanceMillis;
    }

    boolean areConnected(FailureDomain from, FailureDomain to) {
        boolean isolated = faults.isolatedDomains.contains(from) || faults.isolatedDomains.contains(to);
        return from.equals(to) || !isolated;
    }

    long delayMillis(FailureDomain from, FailureDomain to) {
        return from.equals(to) ? 1 : Math.max(1, domainDistanceMillis);
    }

    void sendToPeer(VirtualRouter from, VirtualRouter to, Output.SendToPeer send) {
        if (to == null || !areConnected(from.vm().failureDomain(), to.vm().failureDomain())) {
            return;
        }
        if (withProbability(faults.peerMessageLossRate)) {
            return;
        }
        deliverAfterDelay(from, to, send);
        if (withProbability(faults.peerMessageDuplicationRate)) {
            deliverAfterDelay(from, to, send);
        }
    }

    private void deliverAfterDelay(VirtualRouter from, VirtualRouter to, Output.SendToPeer send) {
        long delayMillis = delayMillis(from.vm().failureDomain(), to.vm().failureDomain());
        long jitterMillis = faults.maximumPeerJitterMillis > 0 ? random.nextInt(faults.maximumPeerJitterMillis) : 0;
        time.schedule(
                delayMillis + jitterMillis,
                () -> to.deliver(to.incarnation(), new Input.PeerSpoke(from.vm().id(), send.message())));
    }

    void callStore(VirtualRouter router, Output.CallStore call) {
        long incarnation = router.incarnation();
        time.schedule(STORE_DELAY_MILLIS + faults.storeDelayMillis, () -> {
            if (faults.storeDown
                    || faults.domainsWithoutStore.contains(router.vm().failureDomain())) {
                return;
            }
            store.call(time.now(), call.request(), result -> respond(router, incarnation, call.call(), result));
        });
    }

    private void respond(VirtualRouter router, long incarnation, long call, StoreResult result) {
        boolean lost = faults.storeDown
                || faults.domainsWithoutStore.contains(router.vm().failureDomain())
                || withProbability(faults.storeResponseLossRate);
        if (!lost) {
            time.schedule(STORE_DELAY_MILLIS, () -> router.deliver(incarnation, new Input.StoreAnswered(call, result)));
        }
    }

    private boolean withProbability(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }
}
