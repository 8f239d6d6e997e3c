package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.CustomerLimit;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.internal.limits.LimitDecision;

/**
 * Logs that customers exceed their limits, once a second for each, and counts the refused requests of the first
 * customers that do; the rest share a counter, so that their number is bounded.
 */
final class OverLimitLog {

    static final int MAXIMUM_COUNTERS = 16;

    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final ForwardingContext context;
    private final Map<CustomerId, Refusals> customers = new HashMap<>();

    /** What was refused to a customer since the last line, and when that was logged. */
    private static final class Refusals {
        final String counter;
        long sinceLog;
        long loggedAtMillis = Long.MIN_VALUE / 2;

        Refusals(String counter) {
            this.counter = counter;
        }
    }

    OverLimitLog(ForwardingContext context) {
        this.context = context;
    }

    void refused(
            ForwardedCall call, CustomerEntry customer, LimitDecision.Refused decision, long configurationVersion) {
        Refusals refusals = customers.computeIfAbsent(customer.id(), this::begin);
        refusals.sinceLog++;
        context.count("requests.over-limit");
        context.count("requests.over-limit-of." + refusals.counter);
        if (context.now() < refusals.loggedAtMillis + LOG_INTERVAL_MILLIS) {
            return;
        }
        context.log(
                "limits",
                "Requests exceed their customer's limit.",
                "request",
                call.callerAttemptId(),
                "customer",
                customer.id(),
                "refused",
                refusals.sinceLog,
                "limitPerSecond",
                customer.limit().map(CustomerLimit::perSecond).orElse(0L),
                "burst",
                customer.limit().map(CustomerLimit::burst).orElse(0L),
                "amount",
                decision.amount(),
                "used",
                decision.used(),
                "allowedPerSecond",
                decision.perSecond(),
                "ownPerSecond",
                decision.ownPerSecond(),
                "routersKnown",
                decision.routers(),
                "routersListed",
                decision.listed(),
                "retryMillis",
                decision.retryMillis(),
                "configuration",
                configurationVersion);
        refusals.sinceLog = 0;
        refusals.loggedAtMillis = context.now();
    }

    private Refusals begin(CustomerId customer) {
        return new Refusals(customers.size() < MAXIMUM_COUNTERS ? customer.value() : "rest");
    }
}
