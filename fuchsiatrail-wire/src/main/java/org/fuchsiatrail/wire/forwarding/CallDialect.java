package org.fuchsiatrail.wire.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.Dispatch;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.wire.http.HttpExchange;

/** The names and forms that callers and upstreams use in the headers of requests and answers. */
public interface CallDialect {

    /**
     * Reads a caller's request.
     *
     * @param exchange the request
     * @return what the decisions need to know of it
     * @throws IllegalArgumentException when a header cannot be read
     */
    ForwardedCall readCall(HttpExchange exchange);

    /**
     * Replaces what the router sets itself in the headers of a request.
     *
     * @param headers the headers to be sent, a copy of the caller's
     * @param terms the terms of the attempt
     */
    void writeTerms(HttpHeaders headers, Dispatch terms);

    /**
     * Reads the head of an upstream's answer.
     *
     * @param status the HTTP status
     * @param headers its headers
     * @param callerAttempt the id that the answer must bear
     * @return what it says
     */
    AttemptEvent.Head readHead(int status, HttpHeaders headers, String callerAttempt);
}
