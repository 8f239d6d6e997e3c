package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.Route;
import org.fuchsiatrail.forwarding.RoutingTable;

/** Checks new requests against the configuration in force and gives them their route, customer and service. */
final class CallIntake {

    private final ForwardingContext context;
    private final StoreReplica known;
    private final CrashTracker crashes;

    /** What became of a new request. */
    sealed interface Verdict {}

    /** The request is to be served. */
    record Taken(CallRow row) implements Verdict {}

    /** The request is refused; no upstream has seen it. */
    record Refused(ResultCode code, long retryAfterMillis) implements Verdict {}

    CallIntake(ForwardingContext context, StoreReplica known, CrashTracker crashes) {
        this.context = context;
        this.known = known;
        this.crashes = crashes;
    }

    Verdict take(RequestId request, ForwardedCall call) {
        if (context.stoppingMillis() > CallTiming.LATEST_AFTER_STOP_MILLIS) {
            return new Refused(ResultCode.STOPPING, CallTiming.STOPPING_RETRY_MILLIS);
        }
        Optional<RoutingTable> routing = known.routing();
        if (routing.isEmpty()) {
            return new Refused(ResultCode.NOT_CONFIGURED, CallTiming.NOT_CONFIGURED_RETRY_MILLIS);
        }
        Optional<Route> route = routing.get().route(call.host(), call.path());
        if (route.isEmpty()) {
            return new Refused(ResultCode.NOT_FOUND, 0);
        }
        Optional<CustomerEntry> customer = routing.get().customer(call.apiKey());
        boolean keyNeeded = routing.get().keysRequired() && !route.get().allowsAnonymous();
        if (keyNeeded && customer.isEmpty()) {
            return new Refused(ResultCode.UNAUTHORIZED, 0);
        }
        if (call.callerAttemptId().isEmpty()) {
            return new Refused(ResultCode.INVALID_REQUEST, 0);
        }
        if (crashes.quarantined(call.fingerprint())) {
            return new Refused(ResultCode.UPSTREAM_FAILED, 0);
        }
        return new Taken(new CallRow(request, call, route.get(), customer, service(route.get()), context.now()));
    }

    /** Draws one of the route's services by their weights. */
    private String service(Route route) {
        int total = route.targets().stream().mapToInt(Route.Target::weight).sum();
        int drawn = total > 0 ? context.random().nextInt(total) : 0;
        for (Route.Target target : route.targets()) {
            drawn -= target.weight();
            if (drawn < 0) {
                return target.service();
            }
        }
        return route.targets().getFirst().service();
    }
}
