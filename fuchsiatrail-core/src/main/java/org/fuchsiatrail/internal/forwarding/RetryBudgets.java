package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;

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

    void recordRequest(String service) {
        budget(service).recordRequest(context.now());
    }

    boolean tryRetry(String service) {
        return budget(service).tryRetry(context.now(), reserve());
    }

    /** Gives back the latest retry, which reached no upstream. */
    void returnRetry(String service) {
        budget(service).returnRetry();
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
