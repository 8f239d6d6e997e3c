package org.fuchsiatrail.wire.http;

import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

/** One request and the answer to it. The answer is either one {@link #respond} or a stream. */
public interface HttpExchange {

    /**
     * Returns the HTTP method.
     *
     * @return in capitals
     */
    String method();

    /**
     * Returns the path.
     *
     * @return without the query
     */
    String path();

    /**
     * Returns the path with its query.
     *
     * @return as sent
     */
    String uri();

    /**
     * Returns a parameter of the query.
     *
     * @param name its name
     * @return its first value
     */
    Optional<String> parameter(String name);

    /**
     * Returns a header.
     *
     * @param name its name, in any case
     * @return its first value
     */
    Optional<String> header(String name);

    /**
     * Returns all headers.
     *
     * @return as sent
     */
    HttpHeaders headers();

    /**
     * Returns the body.
     *
     * @return its bytes, possibly none
     */
    byte[] body();

    /**
     * Answers.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     */
    void respond(int status, Map<String, String> headers, byte[] body);

    /**
     * Answers with headers that may come several times.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     */
    void respond(int status, HttpHeaders headers, byte[] body);

    /**
     * Begins a streamed answer with headers that may come several times.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    void begin(int status, HttpHeaders headers);

    /**
     * Returns what was sent and not yet taken by the network.
     *
     * @return bytes
     */
    long unsentBytes();

    /**
     * Begins a streamed answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    void begin(int status, Map<String, String> headers);

    /**
     * Sends a piece of a streamed answer.
     *
     * @param bytes the piece
     */
    void send(byte[] bytes);

    /** Ends a streamed answer. */
    void end();

    /** Closes the connection without an end, as a crash would. */
    void abort();

    /**
     * Has something done when the connection closes before the answer is whole.
     *
     * @param action what to do
     */
    void onClose(Runnable action);
}
