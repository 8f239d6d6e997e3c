package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiatrail.ResultCode;

/** The retry budgets of this router, one for each service. */
final class RetryBudgets {

    /**
     * The least number of routers assumed to share the reserve, also before members are known; a deployment has as many
     * seeds.
     */
    private static final int MINIMUM_ROUTERS = 3;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final Map<String, WindowedRetryBudget> byService = new HashMap<>();

    RetryBudgets(ForwardingContext context, StoreReplica replica) {
        this.context = context;
        this.replica = replica;
    }

    /** Counts a request, unless the router that relayed it does. */
    void recordRequest(PendingCall pending) {
        if (pending.isCountedHere()) {
            budget(pending.service).recordRequest(context.now());
            pending.counted = true;
        }
    }

    /**
     * Returns whether a request may be relayed: it counts at the other router from then on, or takes a retry if it may
     * have reached an upstream before.
     */
    boolean tryRelay(PendingCall pending) {
        if (pending.mayHaveArrived) {
            pending.relayTookRetry = tryRetry(pending.service);
            return pending.relayTookRetry;
        }
        pending.relayTookRetry = false;
        takeBack(pending);
        return true;
    }

    /** Records that another router did not run a request that was relayed to it. */
    void recordRefusedRelay(PendingCall pending, boolean notSent) {
        pending.mayHaveArrived |= !notSent;
        if (notSent && pending.relayTookRetry) {
            budget(pending.service).returnRetry();
        } else if (notSent) {
            recordRequest(pending);
        }
    }

    /** Records that an attempt could not be sent. */
    void recordUnsent(PendingCall pending) {
        if (pending.relayed) {
            recordRefusedRelay(pending, true);
        }
    }

    /** Takes a request back that counts at the router that relayed it, as it was sent to no upstream here. */
    void recordRefusal(PendingCall pending, ResultCode code) {
        if (pending.call.relayed() && (code == ResultCode.WITHOUT_PATH || pending.sends == 0)) {
            takeBack(pending);
        }
    }

    private void takeBack(PendingCall pending) {
        if (pending.counted) {
            budget(pending.service).returnRequest();
            pending.counted = false;
        }
    }

    boolean tryRetry(String service) {
        return budget(service).tryRetry(context.now(), reserve());
    }

    boolean mayRetry(String service) {
        return budget(service).mayRetry(context.now(), reserve());
    }

    private double reserve() {
        int routers = Math.max(MINIMUM_ROUTERS, replica.members().size());
        return context.settings().retryReserve() / routers;
    }

    private WindowedRetryBudget budget(String service) {
        return byService.computeIfAbsent(
                service,
                name -> new WindowedRetryBudget(
                        context.settings().retryRatio(), context.settings().retryWindowMillis()));
    }
}
