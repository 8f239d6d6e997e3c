package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.ResultCode;

/** Decides by what upstreams said of themselves whether they may receive a request, and when if not now. */
final class UpstreamAvailability {

    /** The fraction of the time to come back by which callers are spread. */
    private static final double RETRY_SPREAD_FRACTION = 0.25;

    private static final long MINIMUM_RETRY_SPREAD_MILLIS = 100;

    private final ForwardingContext context;
    private final RequestLimits requestLimits;
    private final UpstreamTable upstreams;
    private final RequestedPauses pauses;
    private final CallTiming timing;

    /**
     * The reason for which no upstream may receive a request in time.
     *
     * @param code the result of the request
     * @param retryMillis when the caller may come back, in milliseconds
     * @param reason the reason
     */
    record Unavailable(ResultCode code, long retryMillis, String reason) {}

    UpstreamAvailability(
            ForwardingContext context, RequestLimits requestLimits, UpstreamTable upstreams, CallTiming timing) {
        this.context = context;
        this.requestLimits = requestLimits;
        this.upstreams = upstreams;
        this.pauses = upstreams.pauses();
        this.timing = timing;
    }

    /** Returns whether an upstream may receive a request of this router now. */
    RequestedPauses.Permission permission(UpstreamState upstream) {
        RequestedPauses.Permission permission =
                requestLimits.permits(upstream) ? pauses.permission(upstream) : RequestedPauses.Permission.DENIED;
        boolean demoted = permission == RequestedPauses.Permission.GRANTED && upstreams.isDark(upstream);
        return demoted ? RequestedPauses.Permission.LAST_RESORT : permission;
    }

    /** Records a request that is sent to an upstream. */
    void recordSend(UpstreamState upstream) {
        requestLimits.recordSend(upstream);
        pauses.recordSend(upstream);
    }

    /** Returns why none of the upstreams may receive a request within a time, if all pause or are at their limits. */
    Optional<Unavailable> unavailable(List<UpstreamState> upstreams, long withinMillis) {
        long shortestMillis = Long.MAX_VALUE;
        long retryMillis = Long.MAX_VALUE;
        boolean pausing = false;
        for (UpstreamState upstream : upstreams) {
            long limitedMillis = requestLimits.millisUntilPermitted(upstream);
            long pausedMillis = pauses.millisLeft(upstream);
            shortestMillis = Math.min(shortestMillis, Math.max(limitedMillis, pausedMillis));
            // Another router may have a larger share of a limit.
            long advisedMillis =
                    Math.max(pausedMillis, limitedMillis == 0 ? 0 : timing.limitRetryMillis(limitedMillis));
            if (advisedMillis < retryMillis) {
                retryMillis = advisedMillis;
                pausing = pausedMillis > 0;
            }
        }
        if (upstreams.isEmpty() || shortestMillis <= Math.max(0, withinMillis)) {
            return Optional.empty();
        }
        if (!pausing) {
            return Optional.of(new Unavailable(
                    ResultCode.OVERLOADED, retryMillis, "all upstreams are at the limits that they named"));
        }
        context.count("requests.held-by-pauses");
        return Optional.of(new Unavailable(
                ResultCode.OVERLOADED, spread(retryMillis), "all upstreams pause or are at their limits"));
    }

    /** Returns the refusal of a request to a service whose upstreams all leave. */
    Unavailable allLeaving() {
        return new Unavailable(
                ResultCode.NO_UPSTREAM, spread(CallTiming.NO_UPSTREAM_RETRY_MILLIS), "all upstreams are leaving");
    }

    /** Returns the refusal of a request at a router that reaches neither upstreams nor other routers. */
    Unavailable withoutPath() {
        context.count("requests.refused-without-path");
        return new Unavailable(
                ResultCode.NO_UPSTREAM,
                spread(CallTiming.NO_UPSTREAM_RETRY_MILLIS),
                "neither upstreams nor other routers are reached");
    }

    /** Returns the refusal of a stream whose software version no upstream has. */
    Unavailable withoutVersion(String softwareVersion) {
        return new Unavailable(
                ResultCode.STREAM_NOT_RESUMABLE,
                CallTiming.NOT_RESUMABLE_RETRY_MILLIS,
                "no upstream has software version " + softwareVersion);
    }

    private long spread(long retryMillis) {
        long spreadMillis = Math.max(MINIMUM_RETRY_SPREAD_MILLIS, Math.round(retryMillis * RETRY_SPREAD_FRACTION));
        return retryMillis + context.random().nextLong(spreadMillis);
    }
}
