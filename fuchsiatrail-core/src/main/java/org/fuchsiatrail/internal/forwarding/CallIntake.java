package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.CustomerLimit;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.Route;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.internal.limits.CustomerLimits;
import org.fuchsiatrail.internal.limits.LimitDecision;

/** Checks new requests against the configuration in force and resolves their route, customer and service. */
final class CallIntake {

    private static final LimitDecision NOT_LIMITED = new LimitDecision.Admitted(0);

    private final ForwardingContext context;
    private final StoreReplica storeReplica;
    private final CustomerLimits customerLimits;
    private final CallLog log;
    private final RecentRequestIds recentRequestIds = new RecentRequestIds();

    /** The outcome of the check of a new request. */
    sealed interface Decision {}

    /** The request is accepted. */
    record Accepted(PendingCall pending) implements Decision {}

    /** The request is refused; it was sent to no upstream. */
    record Refused(ResultCode code, long retryAfterMillis) implements Decision {}

    CallIntake(ForwardingContext context, StoreReplica storeReplica, CustomerLimits customerLimits, CallLog log) {
        this.context = context;
        this.storeReplica = storeReplica;
        this.customerLimits = customerLimits;
        this.log = log;
    }

    Decision admit(RequestId request, ForwardedCall call) {
        if (context.millisSinceStopRequest() > CallTiming.ACCEPT_AFTER_STOP_MILLIS) {
            return refusedForStop(call);
        }
        Optional<RoutingTable> routing = storeReplica.routing();
        if (routing.isEmpty()) {
            return new Refused(ResultCode.NOT_CONFIGURED, CallTiming.NOT_CONFIGURED_RETRY_MILLIS);
        }
        Optional<Route> route = routing.get().route(call.host(), call.path());
        if (route.isEmpty()) {
            return new Refused(ResultCode.NOT_FOUND, 0);
        }
        if (call.relayed() && mayBeCutByStop(call, route.get())) {
            return refusedForStop(call);
        }
        Optional<CustomerEntry> customer = routing.get().customer(call.apiKey());
        boolean keyRequired = routing.get().keysRequired() && !route.get().allowsAnonymous();
        if (keyRequired && customer.isEmpty()) {
            return new Refused(ResultCode.UNAUTHORIZED, 0);
        }
        if (call.callerAttemptId().isEmpty()) {
            return new Refused(ResultCode.INVALID_REQUEST, 0);
        }
        if (!recentRequestIds.add(call.callerAttemptId())) {
            log.repeatedId(call);
        }
        LimitDecision decision = customer.map(entry -> decideLimit(entry, call)).orElse(NOT_LIMITED);
        if (decision instanceof LimitDecision.Refused overLimit) {
            log.overLimit(call, customer.get(), overLimit);
            return new Refused(ResultCode.OVER_LIMIT, overLimit.retryMillis());
        }
        long amount = ((LimitDecision.Admitted) decision).amount();
        String service = drawService(route.get());
        return new Accepted(new PendingCall(request, call, route.get(), customer, service, context.now(), amount));
    }

    /** Decides whether a request is within its customer's limit; one that was relayed counted at the other router. */
    private LimitDecision decideLimit(CustomerEntry customer, ForwardedCall call) {
        if (call.relayed() || customer.limit().isEmpty()) {
            return NOT_LIMITED;
        }
        CustomerLimit limit = customer.limit().get();
        return customerLimits.decide(customer.id(), limit, limit.amount(call), context.now());
    }

    /** Takes a request that ends now back from its customer's limit if no upstream can have executed it. */
    void giveBack(PendingCall pending) {
        if (!pending.mayHaveRun() && !pending.streamBegun) {
            pending.customer.ifPresent(entry -> customerLimits.giveBack(
                    entry.id(), pending.chargedAmount, pending.receivedAtMillis, context.now()));
        }
    }

    private boolean mayBeCutByStop(ForwardedCall call, Route route) {
        long remainingMillis = Math.min(call.deadlineMillis(), route.timeoutMillis());
        return context.stopping()
                && context.millisSinceStopRequest() + remainingMillis
                        > context.settings().stopGraceMillis();
    }

    /** Refuses a request because this router stops; the router that relayed it tries another way. */
    private static Refused refusedForStop(ForwardedCall call) {
        return new Refused(
                call.relayed() ? ResultCode.WITHOUT_PATH : ResultCode.STOPPING, CallTiming.STOPPING_RETRY_MILLIS);
    }

    /** Selects one of the route's services at random, in proportion to their weights. */
    private String drawService(Route route) {
        int totalWeight =
                route.targets().stream().mapToInt(Route.Target::weight).sum();
        int draw = totalWeight > 0 ? context.random().nextInt(totalWeight) : 0;
        for (Route.Target target : route.targets()) {
            draw -= target.weight();
            if (draw < 0) {
                return target.service();
            }
        }
        return route.targets().getFirst().service();
    }
}
