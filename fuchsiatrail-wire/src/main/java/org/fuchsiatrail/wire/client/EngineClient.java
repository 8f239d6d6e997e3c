package org.fuchsiatrail.wire.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.request.NettyRequest;
import org.fuchsiatrail.CacheEvents;
import org.fuchsiatrail.EngineCall;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.wire.WireMapper;

/**
 * Sends requests, queries and orders to engines: JSON over HTTP, with newline-delimited JSON events in streamed
 * responses.
 */
public final class EngineClient {

    private static final Duration CONTROL_REQUEST_TIMEOUT = Duration.ofMillis(1_000);
    private static final int OK = 200;

    private final AsyncHttpClient http;
    private final Cancellations cancellations = new Cancellations();
    private final ObjectMapper json = WireMapper.json();
    private final ObjectReader eventReader = json.readerFor(EngineEvent.class);

    /**
     * Creates a client.
     *
     * @param http the shared HTTP client
     */
    public EngineClient(AsyncHttpClient http) {
        this.http = http;
    }

    /**
     * The JSON body of an order to load a model version.
     *
     * @param order the order's id; the engine executes an order with the same id only once
     * @param model the model and the version of its weights
     * @param fencingToken the fencing token of the order lease under which the order is issued
     * @param expiresInMillis how long the engine may still accept the order, in milliseconds
     */
    public record LoadOrder(String order, ModelVersion model, long fencingToken, long expiresInMillis) {}

    /**
     * The JSON body of the cancellation of a request.
     *
     * @param request the request to cancel
     */
    public record Cancellation(RequestId request) {}

    /** A handle of an attempt that was sent to an engine. */
    @FunctionalInterface
    public interface RunningAttempt {

        /** Aborts the attempt and closes its connection; the listener receives no further event. */
        void abort();
    }

    /**
     * Sends a request to an engine and streams its events.
     *
     * @param address the engine's IP address and port
     * @param call the request to run
     * @param listener receives each event; the last one reports the end, a refusal or the loss of the attempt
     * @return a handle of the attempt
     */
    public RunningAttempt start(String address, EngineCall call, Consumer<EngineEvent> listener) {
        EventStreamHandler stream = new EventStreamHandler(call.request(), listener);
        ListenableFuture<Void> future = http.preparePost("http://" + address + "/v1/run")
                .setHeader("Content-Type", "application/json")
                .setHeader("traceparent", call.traceparent())
                .setBody(toJson(call))
                .execute(stream);
        return () -> {
            stream.finished.set(true);
            future.abort(new IOException("cancelled"));
        };
    }

    /**
     * Cancels a request, at once or when earlier cancellations have ended. The engine's response is ignored.
     *
     * @param address the engine's IP address and port
     * @param request the request
     */
    public void cancel(String address, RequestId request) {
        cancellations.add(ended -> http.preparePost("http://" + address + "/v1/cancel")
                .setHeader("Content-Type", "application/json")
                .setRequestTimeout(CONTROL_REQUEST_TIMEOUT)
                .setBody(toJson(new Cancellation(request)))
                .execute(new IgnoredResponseHandler(ended)));
    }

    /**
     * Queries the load of an engine.
     *
     * @param address the engine's IP address and port
     * @param listener receives the report, or null if there was no valid response
     */
    public void queryLoad(String address, Consumer<LoadReport> listener) {
        http.prepareGet("http://" + address + "/v1/load")
                .setRequestTimeout(CONTROL_REQUEST_TIMEOUT)
                .execute(new JsonResponseHandler<>(LoadReport.class, EngineClient::isComplete, listener));
    }

    /**
     * Reads cache events of an engine.
     *
     * @param address the engine's IP address and port
     * @param fromSequence the sequence number of the first event to return
     * @param listener receives the events, or null if there was no valid response
     */
    public void readCacheEvents(String address, long fromSequence, Consumer<CacheEvents> listener) {
        http.prepareGet("http://" + address + "/v1/cache-events?from=" + fromSequence)
                .setRequestTimeout(CONTROL_REQUEST_TIMEOUT)
                .execute(new JsonResponseHandler<>(CacheEvents.class, EngineClient::isComplete, listener));
    }

    /**
     * Sends an order to load a model version.
     *
     * @param address the engine's IP address and port
     * @param order the order
     * @param listener receives an empty string if the engine accepted the order, else its reason; {@code unknown} if
     *     there was no response
     */
    public void sendOrder(String address, LoadOrder order, Consumer<String> listener) {
        http.preparePost("http://" + address + "/v1/orders")
                .setHeader("Content-Type", "application/json")
                .setRequestTimeout(CONTROL_REQUEST_TIMEOUT)
                .setBody(toJson(order))
                .execute(new AsyncCompletionHandlerBase() {
                    @Override
                    public Response onCompleted(Response response) {
                        listener.accept(response.getStatusCode() == OK ? "" : response.getResponseBody());
                        return response;
                    }

                    @Override
                    public void onThrowable(Throwable cause) {
                        listener.accept("unknown");
                    }
                });
    }

    private static boolean isComplete(LoadReport report) {
        return report.engine() != null
                && report.models() != null
                && report.models().stream().allMatch(Objects::nonNull)
                && report.queuedTokens() >= 0
                && report.runningStreams() >= 0
                && report.maximumStreams() >= 0
                && report.prefillTokensPerSecond() >= 0;
    }

    private static boolean isComplete(CacheEvents events) {
        return events.engine() != null
                && events.runs() != null
                && events.runs().stream().allMatch(run -> run != null && run.stored() != null && run.evicted() != null);
    }

    private byte[] toJson(Object value) {
        try {
            return json.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static final class IgnoredResponseHandler extends AsyncCompletionHandlerBase {
        private final Runnable ended;

        IgnoredResponseHandler(Runnable ended) {
            this.ended = ended;
        }

        @Override
        public Response onCompleted(Response response) {
            ended.run();
            return response;
        }

        @Override
        public void onThrowable(Throwable cause) {
            // A lost cancellation costs the engine some work and has no other effect.
            ended.run();
        }
    }

    private final class JsonResponseHandler<T> extends AsyncCompletionHandlerBase {
        private final Class<T> type;
        private final Predicate<T> complete;
        private final Consumer<T> listener;

        JsonResponseHandler(Class<T> type, Predicate<T> complete, Consumer<T> listener) {
            this.type = type;
            this.complete = complete;
            this.listener = listener;
        }

        @Override
        public Response onCompleted(Response response) {
            T value = null;
            try {
                if (response.getStatusCode() == OK) {
                    value = json.readValue(response.getResponseBodyAsBytes(), type);
                }
            } catch (IOException | RuntimeException e) {
                value = null;
            }
            listener.accept(value != null && complete.test(value) ? value : null);
            return response;
        }

        @Override
        public void onThrowable(Throwable cause) {
            listener.accept(null);
        }
    }

    /** Parses a streamed response line by line and passes on its events up to the last one. */
    private final class EventStreamHandler implements AsyncHandler<Void> {
        private static final int MAXIMUM_LINE_BYTES = 1024 * 1024;

        private final RequestId request;
        private final Consumer<EngineEvent> listener;
        private final AtomicBoolean finished = new AtomicBoolean();
        private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
        private volatile boolean requestSent;
        private boolean refused;

        EventStreamHandler(RequestId request, Consumer<EngineEvent> listener) {
            this.request = request;
            this.listener = listener;
        }

        @Override
        public void onRequestSend(NettyRequest request) {
            requestSent = true;
        }

        @Override
        public State onStatusReceived(HttpResponseStatus status) {
            return State.CONTINUE;
        }

        @Override
        public State onHeadersReceived(HttpHeaders headers) {
            return State.CONTINUE;
        }

        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            for (byte value : part.getBodyPartBytes()) {
                if (value == '\n') {
                    processLine();
                } else {
                    lineBuffer.write(value);
                }
                if (lineBuffer.size() > MAXIMUM_LINE_BYTES) {
                    finish(new EngineEvent.Lost(true, "a line of the event stream exceeds the size limit"));
                    return State.ABORT;
                }
            }
            // A refused request may come back, and another refusal of it could not be told from this one.
            return refused ? State.ABORT : State.CONTINUE;
        }

        private void processLine() {
            byte[] bytes = lineBuffer.toByteArray();
            lineBuffer.reset();
            if (bytes.length == 0 || finished.get()) {
                return;
            }
            try {
                EngineEvent event = eventReader.readValue(bytes);
                if (event instanceof EngineEvent.Refused refusal) {
                    refused = true;
                    boolean ofThisRequest = request.equals(refusal.request());
                    finish(ofThisRequest ? refusal : new EngineEvent.Lost(true, "refusal of another request received"));
                    return;
                }
                boolean last = !(event instanceof EngineEvent.Started || event instanceof EngineEvent.Token);
                if (last) {
                    finish(event);
                } else {
                    listener.accept(event);
                }
            } catch (IOException | RuntimeException e) {
                finish(new EngineEvent.Lost(true, "a line of the event stream is not a valid engine event"));
            }
        }

        private void finish(EngineEvent event) {
            if (finished.compareAndSet(false, true)) {
                listener.accept(event);
            }
        }

        @Override
        public void onThrowable(Throwable cause) {
            finish(new EngineEvent.Lost(requestSent, String.valueOf(cause.getMessage())));
        }

        @Override
        public Void onCompleted() {
            if (lineBuffer.size() > 0) {
                processLine();
            }
            finish(new EngineEvent.Lost(true, "the response ended without an end event"));
            return null;
        }
    }
}
