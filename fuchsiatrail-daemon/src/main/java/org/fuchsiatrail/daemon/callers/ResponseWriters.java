package org.fuchsiatrail.daemon.callers;

import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.wire.http.HttpExchange;

/** The writers of responses to callers: server-sent events, one JSON body, and the response of a plain service. */
final class ResponseWriters {

    private static final String JSON = "application/json";
    private static final int MILLIS_PER_SECOND = 1000;

    private final ObjectMapper json = new ObjectMapper();

    /** Writes a chat answer as server-sent events, one per token, each with an id from which a caller can resume. */
    final class EventStreamWriter implements ResponseWriter {
        private final HttpExchange exchange;
        private final RequestId request;
        private final String model;
        private boolean streamStarted;

        EventStreamWriter(HttpExchange exchange, RequestId request, String model) {
            this.exchange = exchange;
            this.request = request;
            this.model = model;
        }

        @Override
        public boolean write(CallerAnswer answer) {
            switch (answer) {
                case CallerAnswer.Token token -> {
                    startStream();
                    exchange.sendChunk(event(token.eventId(), "", chunk(token.text(), null, null)));
                    return false;
                }
                case CallerAnswer.End end -> {
                    startStream();
                    Map<String, Object> usage = usage(end);
                    exchange.sendChunk(event("", "", chunk("", "stop", usage)));
                    exchange.sendChunk(event("", "end", Map.of("count", end.count())));
                    exchange.sendChunk("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
                    exchange.endStream();
                    return true;
                }
                case CallerAnswer.Refusal refusal -> {
                    sendError(refusal);
                    return true;
                }
                case CallerAnswer.Result result -> {
                    return true;
                }
            }
        }

        private void startStream() {
            if (!streamStarted) {
                streamStarted = true;
                exchange.beginStream(200, Map.of("Content-Type", "text/event-stream", "Cache-Control", "no-store"));
            }
        }

        private void sendError(CallerAnswer.Refusal refusal) {
            if (!streamStarted) {
                sendRefusal(exchange, refusal);
                return;
            }
            ErrorBody body = ErrorBody.of(refusal.code(), refusal.detail(), refusal.retryAfterMillis());
            exchange.sendChunk(event("", "error", body));
            exchange.endStream();
        }

        private Map<String, Object> chunk(String text, String finishReason, Map<String, Object> usage) {
            Map<String, Object> choice = new LinkedHashMap<>();
            choice.put("index", 0);
            choice.put("delta", text.isEmpty() ? Map.of() : Map.of("content", text));
            choice.put("finish_reason", finishReason);
            Map<String, Object> chunk = new LinkedHashMap<>();
            chunk.put("id", request.value());
            chunk.put("object", "chat.completion.chunk");
            chunk.put("model", model);
            chunk.put("choices", new Object[] {choice});
            if (usage != null) {
                chunk.put("usage", usage);
            }
            return chunk;
        }
    }

    /** Collects a chat answer and writes it as one JSON body when it is complete. */
    final class SingleBodyWriter implements ResponseWriter {
        private final HttpExchange exchange;
        private final RequestId request;
        private final String model;
        private final StringBuilder text = new StringBuilder();

        SingleBodyWriter(HttpExchange exchange, RequestId request, String model) {
            this.exchange = exchange;
            this.request = request;
            this.model = model;
        }

        @Override
        public boolean write(CallerAnswer answer) {
            switch (answer) {
                case CallerAnswer.Token token -> {
                    text.append(token.text());
                    return false;
                }
                case CallerAnswer.End end -> {
                    exchange.respond(200, Map.of("Content-Type", JSON), bytes(body(end)));
                    return true;
                }
                case CallerAnswer.Refusal refusal -> {
                    sendRefusal(exchange, refusal);
                    return true;
                }
                case CallerAnswer.Result result -> {
                    return true;
                }
            }
        }

        private Map<String, Object> body(CallerAnswer.End end) {
            Map<String, Object> choice = new LinkedHashMap<>();
            choice.put("index", 0);
            choice.put("message", Map.of("role", "assistant", "content", text.toString()));
            choice.put("finish_reason", "stop");
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("id", request.value());
            body.put("object", "chat.completion");
            body.put("model", model);
            body.put("choices", new Object[] {choice});
            body.put("usage", usage(end));
            return body;
        }
    }

    /** Relays the response of a plain service, and whether it was replayed from an earlier call. */
    final class ServiceResponseWriter implements ResponseWriter {
        private final HttpExchange exchange;

        ServiceResponseWriter(HttpExchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public boolean write(CallerAnswer answer) {
            if (answer instanceof CallerAnswer.Result result) {
                Map<String, String> headers = new LinkedHashMap<>();
                if (!result.contentType().isEmpty()) {
                    headers.put("Content-Type", result.contentType());
                }
                headers.put("Idempotency-Replayed", Boolean.toString(result.replayed()));
                exchange.respond(result.status(), headers, result.body());
            } else if (answer instanceof CallerAnswer.Refusal refusal) {
                sendRefusal(exchange, refusal);
            }
            return true;
        }
    }

    private static Map<String, Object> usage(CallerAnswer.End end) {
        return Map.of(
                "completion_tokens", end.count(), "prompt_tokens_details", Map.of("cached_tokens", end.cachedTokens()));
    }

    void sendRefusal(HttpExchange exchange, CallerAnswer.Refusal refusal) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", JSON);
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            headers.put("Retry-After", Long.toString(seconds));
        }
        ErrorBody body = ErrorBody.of(refusal.code(), refusal.detail(), refusal.retryAfterMillis());
        exchange.respond(refusal.code().httpStatus(), headers, bytes(body));
    }

    private byte[] event(String id, String type, Object data) {
        StringBuilder event = new StringBuilder();
        if (!id.isEmpty()) {
            event.append("id: ").append(id).append('\n');
        }
        if (!type.isEmpty()) {
            event.append("event: ").append(type).append('\n');
        }
        event.append("data: ")
                .append(new String(bytes(data), StandardCharsets.UTF_8))
                .append("\n\n");
        return event.toString().getBytes(StandardCharsets.UTF_8);
    }

    private byte[] bytes(Object value) {
        try {
            return json.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
