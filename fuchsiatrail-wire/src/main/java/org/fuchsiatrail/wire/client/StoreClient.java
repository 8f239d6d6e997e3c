package org.fuchsiatrail.wire.client;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.wire.WireMapper;

/** Calls the platform's key-value store over HTTP, with one JSON request and one JSON response per call. */
public final class StoreClient {

    private static final int OK = 200;

    private final AsyncHttpClient http;
    private final String address;
    private final ObjectMapper json = WireMapper.json();

    /**
     * Creates a client.
     *
     * @param http the shared HTTP client
     * @param address the store's IP address and port
     */
    public StoreClient(AsyncHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    /**
     * Calls the store.
     *
     * @param request the call
     * @param timeoutMillis the timeout of the call, in milliseconds
     * @param listener receives the result, exactly once; {@link StoreResult.Unavailable} if there was no valid response
     */
    public void call(StoreRequest request, long timeoutMillis, Consumer<StoreResult> listener) {
        byte[] body;
        try {
            body = json.writerFor(StoreRequest.class).writeValueAsBytes(request);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
        http.preparePost("http://" + address + "/v1/store")
                .setHeader("Content-Type", "application/json")
                .setRequestTimeout(Duration.ofMillis(timeoutMillis))
                .setBody(body)
                .execute(new AsyncCompletionHandlerBase() {
                    @Override
                    public Response onCompleted(Response response) {
                        listener.accept(parseResult(response));
                        return response;
                    }

                    @Override
                    public void onThrowable(Throwable cause) {
                        listener.accept(new StoreResult.Unavailable(String.valueOf(cause.getMessage())));
                    }
                });
    }

    private StoreResult parseResult(Response response) {
        if (response.getStatusCode() != OK) {
            return new StoreResult.Unavailable("the store responded with HTTP status " + response.getStatusCode());
        }
        try {
            return json.readValue(response.getResponseBodyAsBytes(), StoreResult.class);
        } catch (IOException | RuntimeException e) {
            return new StoreResult.Unavailable("the store's response is not a valid store result");
        }
    }
}
