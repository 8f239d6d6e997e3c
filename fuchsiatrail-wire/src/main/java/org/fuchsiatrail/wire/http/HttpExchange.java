package org.fuchsiatrail.wire.http;

import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * One HTTP request and the response to it.
 *
 * <p>The response is sent either in one piece, or as a stream that is begun, sent in chunks and ended.
 */
public interface HttpExchange {

    /**
     * Returns whether a status belongs to the response that ends a request, after which no other follows.
     *
     * @param status the HTTP status
     * @return true for three digits of which the first is 2 to 5
     */
    static boolean isFinalStatus(int status) {
        return status >= 200 && status <= 599;
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method in upper case
     */
    String method();

    /**
     * Returns the path.
     *
     * @return the path without the query
     */
    String path();

    /**
     * Returns the path with its query.
     *
     * @return the request target as received
     */
    String uri();

    /**
     * Returns a parameter of the query.
     *
     * @param name the parameter's name
     * @return its first value, or empty if the query does not contain it
     */
    Optional<String> queryParameter(String name);

    /**
     * Returns a header.
     *
     * @param name the header's name, case-insensitive
     * @return its first value, or empty if the request does not contain it
     */
    Optional<String> header(String name);

    /**
     * Returns all headers.
     *
     * @return the headers as received
     */
    HttpHeaders headers();

    /**
     * Returns the body.
     *
     * @return its bytes, empty if the request has no body
     */
    byte[] body();

    /**
     * Sends the complete response. Has no effect once the response is complete or the connection is closed; closes the
     * connection if a stream was begun, so that the caller detects that it is incomplete.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     * @throws IllegalArgumentException if status or headers cannot be written; another response may be sent then
     */
    void respond(int status, Map<String, String> headers, byte[] body);

    /**
     * Sends the complete response, with headers that may have several values, like {@link #respond(int, Map, byte[])}.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     * @throws IllegalArgumentException if status or headers cannot be written; another response may be sent then
     */
    void respond(int status, HttpHeaders headers, byte[] body);

    /**
     * Begins a streamed response, with headers that may have several values.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @throws IllegalArgumentException if status or headers cannot be written; another response may be sent then
     */
    void beginStream(int status, HttpHeaders headers);

    /**
     * Returns how much of the response is still buffered because the caller has not read it.
     *
     * @return the number of bytes not yet written to the socket
     */
    long unsentBytes();

    /**
     * Begins a streamed response.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @throws IllegalArgumentException if status or headers cannot be written; another response may be sent then
     */
    void beginStream(int status, Map<String, String> headers);

    /**
     * Sends a chunk of a streamed response.
     *
     * @param bytes the chunk
     */
    void sendChunk(byte[] bytes);

    /** Completes a streamed response. */
    void endStream();

    /** Closes the connection without completing the response, so that the caller detects that it is incomplete. */
    void abort();

    /**
     * Sets the action to run if the connection closes before the response is complete. Runs it at once if the
     * connection is already closed.
     *
     * @param action the action; replaces the one set before
     */
    void onDisconnect(Runnable action);
}
