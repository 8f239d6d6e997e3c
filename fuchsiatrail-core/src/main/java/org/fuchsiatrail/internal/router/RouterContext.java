package org.fuchsiatrail.internal.router;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.RouterSettings;

/** State shared by all systems during a tick: time, outputs, settings and the seeded random number generator. */
public final class RouterContext {

    private final RouterSettings settings;
    private final SplittableRandom random;
    private List<Output> outputs = new ArrayList<>();
    private long nowMillis;
    private boolean stopping;
    private Optional<RequestId> requestInWork = Optional.empty();

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
     * @param now the time in milliseconds; an earlier time than that of the last tick is ignored
     */
    public void beginTick(long now) {
        nowMillis = Math.max(nowMillis, now);
        outputs = new ArrayList<>();
    }

    /**
     * Ends a tick.
     *
     * @return the outputs since the start of the tick
     */
    public List<Output> endTick() {
        return outputs;
    }

    /**
     * Returns the time of this tick.
     *
     * @return the time in milliseconds
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
     * Returns the id of this router's entry VM.
     *
     * @return the id
     */
    public EntryVmId selfId() {
        return settings.self().id();
    }

    /**
     * Returns the seeded random number generator.
     *
     * @return the generator
     */
    public SplittableRandom random() {
        return random;
    }

    /**
     * Returns whether the router is shutting down.
     *
     * @return true from the start of the graceful shutdown
     */
    public boolean stopping() {
        return stopping;
    }

    /** Records the start of the graceful shutdown. */
    public void beginShutdown() {
        stopping = true;
    }

    /** Records that no request is worked on. */
    public void beginWork() {
        requestInWork = Optional.empty();
    }

    /**
     * Records the request that is worked on, which is answered if an exception ends that.
     *
     * @param request the request
     */
    public void beginWorkOn(RequestId request) {
        requestInWork = Optional.of(request);
    }

    /**
     * Returns the request that is worked on.
     *
     * @return the request, or empty
     */
    public Optional<RequestId> requestInWork() {
        return requestInWork;
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
     * Increments a counter by one.
     *
     * @param metric the name of the counter
     */
    public void count(String metric) {
        outputs.add(new Output.Count(metric, 1));
    }

    /**
     * Increments a counter.
     *
     * @param metric the name of the counter
     * @param amount the increment
     */
    public void count(String metric, long amount) {
        outputs.add(new Output.Count(metric, amount));
    }

    /**
     * Writes a log line.
     *
     * @param component the component that writes the line
     * @param message a short sentence
     * @param fields alternating keys and values
     */
    public void log(String component, String message, Object... fields) {
        Map<String, Object> namedFields = new LinkedHashMap<>();
        for (int index = 0; index + 1 < fields.length; index += 2) {
            namedFields.put(String.valueOf(fields[index]), fields[index + 1]);
        }
        outputs.add(new Output.LogEvent(component, message, namedFields));
    }
}
