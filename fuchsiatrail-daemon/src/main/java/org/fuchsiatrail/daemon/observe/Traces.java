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

/** Makes the span of each hop: a caller's request, an attempt on an upstream, a question from a peer. */
public final class Traces implements AutoCloseable {

    private static final String FIELD = "traceparent";

    private final OpenTelemetry telemetry;
    private final Tracer tracer;

    private Traces(OpenTelemetry telemetry) {
        this.telemetry = telemetry;
        this.tracer = telemetry.getTracer("fuchsiatrail");
    }

    /**
     * Chooses where spans go.
     *
     * @param exporter {@code none} or {@code log}
     * @param router the router's name, an attribute of every span
     * @return the traces
     */
    public static Traces to(String exporter, String router) {
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
     * Begins the span of one hop.
     *
     * @param name what the hop does
     * @param kind who began it
     * @param parent the W3C trace context it belongs to, or an empty text
     * @return the span, to be ended
     */
    public Span begin(String name, SpanKind kind, String parent) {
        Context context = W3CTraceContextPropagator.getInstance().extract(Context.root(), parent, new Getter());
        return tracer.spanBuilder(name).setSpanKind(kind).setParent(context).startSpan();
    }

    /**
     * Returns the trace context to hand on.
     *
     * @param span the span of this hop
     * @param received the context that was received, handed on unchanged when spans go nowhere
     * @return a W3C trace context, or an empty text
     */
    public static String traceparent(Span span, String received) {
        if (!span.getSpanContext().isSampled()) {
            return received;
        }
        Map<String, String> carrier = new HashMap<>();
        W3CTraceContextPropagator.getInstance().inject(span.storeInContext(Context.root()), carrier, Map::put);
        return carrier.getOrDefault(FIELD, received);
    }

    @Override
    public void close() {
        if (telemetry instanceof OpenTelemetrySdk sdk) {
            sdk.close();
        }
    }

    private static final class Getter implements TextMapGetter<String> {
        @Override
        public Iterable<String> keys(String carrier) {
            return List.of(FIELD);
        }

        @Override
        public String get(String carrier, String key) {
            return FIELD.equals(key) && carrier != null && !carrier.isEmpty() ? carrier : null;
        }
    }
}
