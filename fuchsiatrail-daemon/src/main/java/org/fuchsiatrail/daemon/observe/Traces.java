package org.fuchsiatrail.daemon.observe;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.logging.LoggingSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;

/** Creates the span of each hop: a caller's request, an attempt at an upstream, or a query from a peer. */
public final class Traces implements AutoCloseable {

    private static final String TRACEPARENT = "traceparent";

    private final OpenTelemetry telemetry;
    private final Tracer tracer;

    private Traces(OpenTelemetry telemetry) {
        this.telemetry = telemetry;
        this.tracer = telemetry.getTracer("fuchsiatrail");
    }

    /**
     * Creates the traces for an exporter.
     *
     * @param exporter {@code none} to record no spans, or {@code log} to log them
     * @param router the id of the router, an attribute of every span
     * @return the traces
     */
    public static Traces create(String exporter, String router) {
        if (exporter.equals("none")) {
            return new Traces(OpenTelemetry.noop());
        }
        SdkTracerProvider provider = SdkTracerProvider.builder()
                .addSpanProcessor(
                        BatchSpanProcessor.builder(LoggingSpanExporter.create()).build())
                .setResource(Resource.create(
                        Attributes.builder().put("service.instance.id", router).build()))
                .build();
        return new Traces(OpenTelemetrySdk.builder().setTracerProvider(provider).build());
    }

    /**
     * Starts the span of one hop.
     *
     * @param name the name of the span
     * @param kind whether this router is the client or the server of the hop
     * @param parent the W3C trace context of the parent span, or an empty string
     * @return the started span, which the caller has to end
     */
    public Span beginSpan(String name, SpanKind kind, String parent) {
        Context context =
                W3CTraceContextPropagator.getInstance().extract(Context.root(), parent, new TraceparentGetter());
        return tracer.spanBuilder(name).setSpanKind(kind).setParent(context).startSpan();
    }

    /**
     * Returns the trace context to send with the next hop.
     *
     * @param span the span of this hop
     * @param received the trace context that was received, returned unchanged when the span is not sampled
     * @return a W3C trace context, or an empty string
     */
    public static String traceparent(Span span, String received) {
        if (!span.getSpanContext().isSampled()) {
            return received;
        }
        Map<String, String> carrier = new HashMap<>();
        W3CTraceContextPropagator.getInstance().inject(span.storeInContext(Context.root()), carrier, Map::put);
        return carrier.getOrDefault(TRACEPARENT, received);
    }

    @Override
    public void close() {
        if (telemetry instanceof OpenTelemetrySdk sdk) {
            sdk.close();
        }
    }

    private static final class TraceparentGetter implements TextMapGetter<String> {
        @Override
        public Iterable<String> keys(String carrier) {
            return List.of(TRACEPARENT);
        }

        @Override
        public String get(String carrier, String key) {
            return TRACEPARENT.equals(key) && carrier != null && !carrier.isEmpty() ? carrier : null;
        }
    }
}
