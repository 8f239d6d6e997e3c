package org.fuchsiatrail.internal.router;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.RouterSettings;

/** What every system shares during a tick: the time, the outputs, the settings and the seeded random numbers. */
public final class RouterContext {

    private final RouterSettings settings;
    private final SplittableRandom random;
    private List<Output> outputs = new ArrayList<>();
    private long nowMillis;
    private boolean stopping;

    /**
     * Creates a context.
     *
     * @param settings the router's settings
     */
    public RouterContext(RouterSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed() * 31 + settings.incarnation());
    }

    /**
     * Starts a tick.
     *
     * @param now the time in milliseconds
     */
    public void beginTick(long now) {
        nowMillis = Math.max(nowMillis, now);
        outputs = new ArrayList<>();
    }

    /**
     * Ends a tick.
     *
     * @return the outputs since it began
     */
    public List<Output> endTick() {
        return outputs;
    }

    /**
     * Returns the time of this tick.
     *
     * @return milliseconds
     */
    public long now() {
        return nowMillis;
    }

    /**
     * Returns the settings.
     *
     * @return the settings
     */
    public RouterSettings settings() {
        return settings;
    }

    /**
     * Returns the name of this router's entry VM.
     *
     * @return the id
     */
    public EntryVmId selfId() {
        return settings.self().id();
    }

    /**
     * Returns the seeded random numbers.
     *
     * @return the generator
     */
    public SplittableRandom random() {
        return random;
    }

    /**
     * Returns whether a stop was asked.
     *
     * @return true from the stop on
     */
    public boolean stopping() {
        return stopping;
    }

    /** Remembers that a stop was asked. */
    public void stop() {
        stopping = true;
    }

    /**
     * Adds an output.
     *
     * @param output the output
     */
    public void emit(Output output) {
        outputs.add(output);
    }

    /**
     * Counts an event.
     *
     * @param metric the counter
     */
    public void count(String metric) {
        outputs.add(new Output.Count(metric, 1));
    }

    /**
     * Counts an amount.
     *
     * @param metric the counter
     * @param amount what to add
     */
    public void count(String metric, long amount) {
        outputs.add(new Output.Count(metric, amount));
    }

    /**
     * Writes a log line.
     *
     * @param part the part that speaks
     * @param sentence a short sentence
     * @param fields keys and values in turn
     */
    public void log(String part, String sentence, Object... fields) {
        Map<String, Object> named = new LinkedHashMap<>();
        for (int index = 0; index + 1 < fields.length; index += 2) {
            named.put(String.valueOf(fields[index]), fields[index + 1]);
        }
        outputs.add(new Output.LogEvent(part, sentence, named));
    }
}
