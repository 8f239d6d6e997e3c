package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;

/** The retry budgets of this router, one for each service. */
final class RetryBudgets {

    /** Routers assumed before members are known; the seeds of a deployment. */
    private static final int FEWEST_ROUTERS = 3;

    private final ForwardingContext context;
    private final StoreReplica known;
    private final Map<String, WindowedRetryBudget> byService = new HashMap<>();

    RetryBudgets(ForwardingContext context, StoreReplica known) {
        this.context = context;
        this.known = known;
    }

    void recordRequest(String service) {
        budget(service).request(context.now());
    }

    boolean tryRetry(String service) {
        return budget(service).tryRepeat(context.now(), reserve());
    }

    boolean mayRetry(String service) {
        return budget(service).mayRepeat(context.now(), reserve());
    }

    private double reserve() {
        int routers = Math.max(FEWEST_ROUTERS, known.members().size());
        return context.settings().retryReserve() / routers;
    }

    private WindowedRetryBudget budget(String service) {
        return byService.computeIfAbsent(
                service,
                name -> new WindowedRetryBudget(
                        context.settings().retryRatio(), context.settings().retryWindowMillis()));
    }
}
