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

/** The metrics registry of a router, exported as JSON and in the Prometheus text format. */
public final class RouterMetrics {

    private final MetricRegistry registry = new MetricRegistry();
    private final CollectorRegistry prometheus = new CollectorRegistry();
    /** Creates an empty registry. */
    public RouterMetrics() {
        prometheus.register(new DropwizardExports(registry));
    }

    /**
     * Increments a counter.
     *
     * @param name the counter's name
     * @param amount the increment
     */
    public void count(String name, long amount) {
        registry.counter(name).inc(amount);
    }

    /**
     * Records a duration in a timer.
     *
     * @param name the timer's name
     * @param millis the duration in milliseconds
     */
    public void time(String name, long millis) {
        registry.timer(name).update(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Registers a gauge.
     *
     * @param name the gauge's name
     * @param value supplies the current value when metrics are exported
     */
    public void gauge(String name, Supplier<Number> value) {
        registry.register(name, (Gauge<Number>) value::get);
    }

    /**
     * Exports all metrics as JSON.
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
     * Exports all metrics in the Prometheus text format.
     *
     * @return the text in version 0.0.4 of the format
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
