package org.fuchsiatrail.wire.forwarding;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.Dispatch;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.wire.http.HttpExchange;

/**
 * Maps between the HTTP headers of a platform and the types of the forwarding core. Which headers callers and upstreams
 * use is specific to the platform.
 */
public interface CallDialect {

    /**
     * Parses a caller's request.
     *
     * @param exchange the request
     * @return the properties of the request that routing decisions depend on
     * @throws IllegalArgumentException if a header is missing or malformed
     */
    ForwardedCall parseCall(HttpExchange exchange);

    /**
     * Sets the headers that only the router may set, and removes any values of them that the caller sent.
     *
     * @param headers the headers to send to the upstream, initially a copy of the caller's
     * @param dispatch the parameters of the attempt
     */
    void writeDispatchHeaders(HttpHeaders headers, Dispatch dispatch);

    /**
     * Sets the headers by which the refusal of a request shows which request it answers.
     *
     * @param headers the headers to send to the caller
     * @param call the refused request
     */
    void writeRefusalHeaders(HttpHeaders headers, ForwardedCall call);

    /**
     * Returns which request a response of an upstream answers.
     *
     * @param headers the headers of the response
     * @return the caller's attempt id that the upstream repeats, or empty if there is none
     */
    Optional<String> answeredAttemptId(HttpHeaders headers);

    /**
     * Parses status and headers of an upstream's response to the request that was sent to it.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @return the parsed head
     */
    AttemptEvent.Head parseHead(int status, HttpHeaders headers);
}
