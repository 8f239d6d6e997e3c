package org.fuchsiatrail.standins.drive;

import java.util.SplittableRandom;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.standins.model.StoreModel;

/** Carries messages between routers and to the store, late, twice or not at all as the faults say. */
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

    boolean connected(FailureDomain from, FailureDomain to) {
        boolean cut = faults.cutFromOthers.contains(from) || faults.cutFromOthers.contains(to);
        return from.equals(to) || !cut;
    }

    long delay(FailureDomain from, FailureDomain to) {
        return from.equals(to) ? 1 : Math.max(1, domainDistanceMillis);
    }

    void sendPeer(VirtualRouter from, VirtualRouter to, Output.SendToPeer send) {
        if (to == null || !connected(from.vm().failureDomain(), to.vm().failureDomain())) {
            return;
        }
        if (chance(faults.peerMessagesLost)) {
            return;
        }
        carry(from, to, send);
        if (chance(faults.peerMessagesRepeated)) {
            carry(from, to, send);
        }
    }

    private void carry(VirtualRouter from, VirtualRouter to, Output.SendToPeer send) {
        long delay = delay(from.vm().failureDomain(), to.vm().failureDomain());
        long jitter = faults.peerJitterMillis > 0 ? random.nextInt(faults.peerJitterMillis) : 0;
        time.after(
                delay + jitter,
                () -> to.give(to.life(), new Input.PeerSpoke(from.vm().id(), send.message())));
    }

    void callStore(VirtualRouter router, Output.CallStore call) {
        long life = router.life();
        time.after(STORE_DELAY_MILLIS + faults.storeDelayMillis, () -> {
            if (faults.storeDown || faults.cutFromStore.contains(router.vm().failureDomain())) {
                return;
            }
            store.call(time.now(), call.request(), result -> answer(router, life, call.call(), result));
        });
    }

    private void answer(VirtualRouter router, long life, long call, StoreResult result) {
        boolean lost = faults.storeDown
                || faults.cutFromStore.contains(router.vm().failureDomain())
                || chance(faults.storeAnswersLost);
        if (!lost) {
            time.after(STORE_DELAY_MILLIS, () -> router.give(life, new Input.StoreAnswered(call, result)));
        }
    }

    private boolean chance(double part) {
        return part > 0 && random.nextDouble() < part;
    }
}
