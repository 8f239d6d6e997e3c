package org.fuchsiatrail.wire.observe;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;

/** Counts and times what the router does, readable as JSON and as Prometheus text. */
public final class RouterMetrics {

    private final MetricRegistry registry = new MetricRegistry();
    private final CollectorRegistry prometheus = new CollectorRegistry();
    /** Creates an empty registry. */
    public RouterMetrics() {
        prometheus.register(new DropwizardExports(registry));
    }

    /**
     * Adds to a counter.
     *
     * @param name the counter
     * @param amount what to add
     */
    public void count(String name, long amount) {
        registry.counter(name).inc(amount);
    }

    /**
     * Adds a duration to a timer.
     *
     * @param name the timer
     * @param millis the duration
     */
    public void time(String name, long millis) {
        registry.timer(name).update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Adds a value that is read when asked for.
     *
     * @param name its name
     * @param value gives it
     */
    public void gauge(String name, Supplier<Number> value) {
        registry.register(name, (Gauge<Number>) value::get);
    }

    /**
     * Returns everything as JSON.
     *
     * @return a JSON object
     */
    public String asJson() {
        try {
            MetricsModule module = new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false);
            return new ObjectMapper().registerModule(module).writeValueAsString(registry);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns everything as Prometheus text.
     *
     * @return the text format, version 0.0.4
     */
    public String asPrometheus() {
        try {
            StringWriter text = new StringWriter();
            TextFormat.write004(text, prometheus.metricFamilySamples());
            return text.toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
