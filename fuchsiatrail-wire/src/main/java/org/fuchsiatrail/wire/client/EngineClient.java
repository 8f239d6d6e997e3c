package org.fuchsiatrail.wire.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

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

/** Speaks to engines: HTTP with JSON, one event a line in streamed answers. */
public final class EngineClient {

    private static final Duration SHORT_REQUEST = Duration.ofMillis(1_000);
    private static final int OK = 200;

    private final AsyncHttpClient http;
    private final ObjectMapper json = WireMapper.json();
    private final ObjectReader events = json.readerFor(EngineEvent.class);

    /**
     * Creates a client.
     *
     * @param http the shared HTTP client
     */
    public EngineClient(AsyncHttpClient http) {
        this.http = http;
    }

    /**
     * An order to load a model version, as it is sent.
     *
     * @param order the order's id; the engine obeys the same id once
     * @param model the model and weights
     * @param fencingToken the number of the lease holding behind it
     * @param expiresInMillis how long the engine may still accept it
     */
    public record LoadOrder(String order, ModelVersion model, long fencingToken, long expiresInMillis) {}

    /**
     * The wish to cancel a request, as it is sent.
     *
     * @param request the request
     */
    public record Cancellation(RequestId request) {}

    /** A running attempt. */
    @FunctionalInterface
    public interface Running {

        /** Ends the connection. */
        void abort();
    }

    /**
     * Starts a request.
     *
     * @param address the engine's IP address and port
     * @param call what to run
     * @param listener takes each event; the last one is an end, a refusal or a loss
     * @return the running attempt
     */
    public Running start(String address, EngineCall call, Consumer<EngineEvent> listener) {
        EventStream stream = new EventStream(listener);
        ListenableFuture<Void> future = http.preparePost("http://" + address + "/v1/run")
                .setHeader("Content-Type", "application/json")
                .setHeader("traceparent", call.traceparent())
                .setBody(bytes(call))
                .execute(stream);
        return () -> {
            stream.over.set(true);
            future.abort(new IOException("cancelled"));
        };
    }

    /**
     * Cancels a request.
     *
     * @param address the engine's IP address and port
     * @param request the request
     */
    public void cancel(String address, RequestId request) {
        http.preparePost("http://" + address + "/v1/cancel")
                .setHeader("Content-Type", "application/json")
                .setRequestTimeout(SHORT_REQUEST)
                .setBody(bytes(new Cancellation(request)))
                .execute(new IgnoredAnswer());
    }

    /**
     * Asks for the load.
     *
     * @param address the engine's IP address and port
     * @param listener takes the report, or null when there was none
     */
    public void load(String address, Consumer<LoadReport> listener) {
        http.prepareGet("http://" + address + "/v1/load")
                .setRequestTimeout(SHORT_REQUEST)
                .execute(new JsonAnswer<>(LoadReport.class, listener));
    }

    /**
     * Reads cache events.
     *
     * @param address the engine's IP address and port
     * @param fromSequence the first event wanted
     * @param listener takes the events, or null when there were none
     */
    public void cacheEvents(String address, long fromSequence, Consumer<CacheEvents> listener) {
        http.prepareGet("http://" + address + "/v1/cache-events?from=" + fromSequence)
                .setRequestTimeout(SHORT_REQUEST)
                .execute(new JsonAnswer<>(CacheEvents.class, listener));
    }

    /**
     * Orders a load.
     *
     * @param address the engine's IP address and port
     * @param order the order
     * @param listener takes an empty text when it was accepted, else the reason; {@code unknown} without an answer
     */
    public void order(String address, LoadOrder order, Consumer<String> listener) {
        http.preparePost("http://" + address + "/v1/orders")
                .setHeader("Content-Type", "application/json")
                .setRequestTimeout(SHORT_REQUEST)
                .setBody(bytes(order))
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

    private byte[] bytes(Object value) {
        try {
            return json.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static final class IgnoredAnswer extends AsyncCompletionHandlerBase {
        @Override
        public void onThrowable(Throwable cause) {
            // A cancellation that does not arrive only costs the engine some work.
        }
    }

    private final class JsonAnswer<T> extends AsyncCompletionHandlerBase {
        private final Class<T> type;
        private final Consumer<T> listener;

        JsonAnswer(Class<T> type, Consumer<T> listener) {
            this.type = type;
            this.listener = listener;
        }

        @Override
        public Response onCompleted(Response response) {
            T value = null;
            try {
                if (response.getStatusCode() == OK) {
                    value = json.readValue(response.getResponseBodyAsBytes(), type);
                }
            } catch (IOException e) {
                value = null;
            }
            listener.accept(value);
            return response;
        }

        @Override
        public void onThrowable(Throwable cause) {
            listener.accept(null);
        }
    }

    /** Reads a streamed answer line by line. */
    private final class EventStream implements AsyncHandler<Void> {
        private static final int LONGEST_LINE_BYTES = 1024 * 1024;

        private final Consumer<EngineEvent> listener;
        private final AtomicBoolean over = new AtomicBoolean();
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private volatile boolean connected;

        EventStream(Consumer<EngineEvent> listener) {
            this.listener = listener;
        }

        @Override
        public void onRequestSend(NettyRequest request) {
            connected = true;
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
            for (byte each : part.getBodyPartBytes()) {
                if (each == '\n') {
                    takeLine();
                } else {
                    line.write(each);
                }
                if (line.size() > LONGEST_LINE_BYTES) {
                    finish(new EngineEvent.Lost(true, "a line was too long"));
                    return State.ABORT;
                }
            }
            return State.CONTINUE;
        }

        private void takeLine() {
            byte[] bytes = line.toByteArray();
            line.reset();
            if (bytes.length == 0 || over.get()) {
                return;
            }
            try {
                EngineEvent event = events.readValue(bytes);
                boolean last = !(event instanceof EngineEvent.Started || event instanceof EngineEvent.Token);
                if (last) {
                    finish(event);
                } else {
                    listener.accept(event);
                }
            } catch (IOException | RuntimeException e) {
                finish(new EngineEvent.Lost(true, "a line was no event"));
            }
        }

        private void finish(EngineEvent event) {
            if (over.compareAndSet(false, true)) {
                listener.accept(event);
            }
        }

        @Override
        public void onThrowable(Throwable cause) {
            finish(new EngineEvent.Lost(connected, String.valueOf(cause.getMessage())));
        }

        @Override
        public Void onCompleted() {
            if (line.size() > 0) {
                takeLine();
            }
            finish(new EngineEvent.Lost(true, "the answer ended without an end event"));
            return null;
        }
    }
}
