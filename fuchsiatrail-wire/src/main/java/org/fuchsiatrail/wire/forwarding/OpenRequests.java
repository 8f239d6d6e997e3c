package org.fuchsiatrail.wire.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.wire.http.HttpExchange;

/** The callers' requests that have no complete answer yet. */
final class OpenRequests {

    /** The retry time of a request that could not be handled, in milliseconds. */
    private static final long NOT_HANDLED_RETRY_MILLIS = 200;

    private static final long MAXIMUM_DEADLINE_MILLIS = 3_600_000;

    private final CallDialect dialect;
    private final Map<RequestId, OpenRequest> requests = new HashMap<>();

    /** A caller's request that has no complete answer yet. */
    static final class OpenRequest {
        private final HttpExchange exchange;
        private final ForwardedCall call;
        private final CallerResponse response;
        /** Whether the loop ends the request at its deadline, whatever the core does. */
        private boolean limited;
        /** The last attempt that was handed to the HTTP client, or null; the request may have run since then. */
        private AttemptId lastAttempt;
        /** The upstream of that attempt. */
        private UpstreamId lastUpstream;

        private OpenRequest(HttpExchange exchange, ForwardedCall call) {
            this.exchange = exchange;
            this.call = call;
            this.response = new CallerResponse(exchange);
        }

        HttpExchange exchange() {
            return exchange;
        }

        ForwardedCall call() {
            return call;
        }

        CallerResponse response() {
            return response;
        }

        void attemptBegins(AttemptId attempt, UpstreamId upstream) {
            lastAttempt = attempt;
            lastUpstream = upstream;
            if (call.relayed()) {
                response.nameUpstream(upstream);
            }
        }
    }

    OpenRequests(CallDialect dialect) {
        this.dialect = dialect;
    }

    void add(RequestId request, HttpExchange exchange, ForwardedCall call) {
        requests.put(request, new OpenRequest(exchange, call));
    }

    Optional<OpenRequest> find(RequestId request) {
        return Optional.ofNullable(requests.get(request));
    }

    /** Finds the request that an attempt was the last one of. */
    Optional<RequestId> findByLastAttempt(AttemptId attempt) {
        return requests.entrySet().stream()
                .filter(entry -> attempt.equals(entry.getValue().lastAttempt))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    List<RequestId> all() {
        return List.copyOf(requests.keySet());
    }

    /** Returns the deadlines, in milliseconds, of the requests for which no earlier call did. */
    Map<RequestId, Long> takeUnlimited() {
        Map<RequestId, Long> deadlines = new LinkedHashMap<>();
        requests.forEach((request, open) -> {
            if (!open.limited) {
                open.limited = true;
                deadlines.put(request, Math.clamp(open.call.deadlineMillis(), 0, MAXIMUM_DEADLINE_MILLIS));
            }
        });
        return deadlines;
    }

    void remove(RequestId request) {
        requests.remove(request);
    }

    /**
     * Ends a request that cannot be handled any further: it is answered, or its connection is closed if its stream has
     * begun. It is reported as not executed only if no attempt of it was made.
     */
    void fail(RequestId request) {
        OpenRequest failed = requests.remove(request);
        if (failed == null) {
            return;
        }
        if (failed.lastAttempt == null) {
            refuse(failed, ResultCode.NOT_HANDLED, NOT_HANDLED_RETRY_MILLIS);
        } else {
            refuse(failed, ResultCode.OUTCOME_UNKNOWN, 0);
        }
    }

    /** Answers a request with a result code of the router. */
    void refuse(OpenRequest request, ResultCode code, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        dialect.writeRefusalHeaders(headers, request.call);
        if (request.call.relayed() && request.lastAttempt == null) {
            headers.set(RelayHeaders.NOT_SENT, "1");
        }
        if (code == ResultCode.ATTEMPT_LOST && request.lastUpstream != null) {
            headers.set(RelayHeaders.ATTEMPT_LOST, request.lastUpstream.value());
        }
        refuse(request.exchange, headers, code, retryAfterMillis);
    }

    /** Answers a request that could not be read. */
    static void refuseUnreadable(HttpExchange exchange) {
        refuse(exchange, new DefaultHttpHeaders(), ResultCode.NOT_HANDLED, NOT_HANDLED_RETRY_MILLIS);
    }

    private static void refuse(HttpExchange exchange, HttpHeaders headers, ResultCode code, long retryAfterMillis) {
        if (retryAfterMillis > 0) {
            headers.set("Retry-After", String.format("%d.%03d", retryAfterMillis / 1_000, retryAfterMillis % 1_000));
        }
        if (code == ResultCode.WITHOUT_PATH) {
            headers.set(RelayHeaders.WITHOUT_PATH, "1");
        }
        headers.set("Content-Type", "application/json");
        String body = "{\"error\":{\"code\":" + code.number() + ",\"message\":\"" + code.meaning() + "\",\"advice\":\""
                + code.advice() + "\"}}\n";
        exchange.respond(code.httpStatus(), headers, body.getBytes(StandardCharsets.UTF_8));
    }
}
