package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;

/**
 * State that the forwarding systems share during a tick: the time, the outputs, the settings and the seeded random
 * generator.
 */
final class ForwardingContext {

    /** How soon a tick follows one in which something failed, since its own wake-up may be lost, in milliseconds. */
    private static final long WAKE_UP_AFTER_FAILURE_MILLIS = 50;

    private final ForwardingSettings settings;
    private final SplittableRandom random;
    private final Suspensions suspensions = new Suspensions(this);
    private final DomainTraffic domainTraffic;
    private final PriorityQueue<Long> wakeUps = new PriorityQueue<>();
    private List<ForwardingOutput> outputs = new ArrayList<>();
    private long nowMillis;
    private long startedAtMillis = Long.MIN_VALUE;
    private boolean stopping;
    private long stopRequestedAtMillis = Long.MAX_VALUE;
    private Optional<RequestId> requestInWork = Optional.empty();

    ForwardingContext(ForwardingSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        this.domainTraffic = new DomainTraffic(this, settings);
    }

    void beginTick(long now) {
        long previousMillis = nowMillis;
        nowMillis = Math.max(nowMillis, now);
        if (startedAtMillis == Long.MIN_VALUE) {
            startedAtMillis = nowMillis;
            previousMillis = nowMillis;
        }
        outputs = new ArrayList<>();
        while (!wakeUps.isEmpty() && wakeUps.peek() <= nowMillis) {
            wakeUps.poll();
        }
        suspensions.ticked(nowMillis - previousMillis);
    }

    List<ForwardingOutput> endTick() {
        return outputs;
    }

    long now() {
        return nowMillis;
    }

    Suspensions suspensions() {
        return suspensions;
    }

    DomainTraffic domainTraffic() {
        return domainTraffic;
    }

    /** The time since the first tick of this router, in milliseconds. */
    long uptimeMillis() {
        return nowMillis - startedAtMillis;
    }

    ForwardingSettings settings() {
        return settings;
    }

    SplittableRandom random() {
        return random;
    }

    boolean stopping() {
        return stopping;
    }

    void stop() {
        stopping = true;
        stopRequestedAtMillis = nowMillis;
    }

    /** The time since a stop was requested, in milliseconds; 0 when none was requested. */
    long millisSinceStopRequest() {
        return stopping ? nowMillis - stopRequestedAtMillis : 0;
    }

    /** Requests a tick at the given time at the latest. */
    void wakeAt(long millis) {
        wakeUps.add(millis);
    }

    long nextWakeUp() {
        return wakeUps.isEmpty() ? Long.MAX_VALUE : wakeUps.peek();
    }

    /** Records the request that the part of the core that runs works on, which fails if that part throws. */
    void beginWorkOn(RequestId request) {
        requestInWork = Optional.of(request);
    }

    /** Handles an input. An exception ends only that: it is reported, and what was emitted so far stays. */
    void handleGuarded(ForwardingInput input, Consumer<ForwardingInput> handler) {
        try {
            handler.accept(input);
        } catch (RuntimeException | Error e) {
            emit(new ForwardingOutput.InputFailed(input, e));
            wakeAt(nowMillis + WAKE_UP_AFTER_FAILURE_MILLIS);
        }
    }

    /**
     * Runs a part of the core. An exception ends only that: it is reported, and what was emitted so far stays.
     *
     * @return the request that the part worked on when it failed, or empty if it completed or worked on none
     */
    Optional<RequestId> runGuarded(String system, Runnable action) {
        requestInWork = Optional.empty();
        try {
            action.run();
            return Optional.empty();
        } catch (RuntimeException | Error e) {
            emit(new ForwardingOutput.SystemFailed(system, requestInWork, e));
            wakeAt(nowMillis + WAKE_UP_AFTER_FAILURE_MILLIS);
            return requestInWork;
        }
    }

    void emit(ForwardingOutput output) {
        outputs.add(output);
    }

    void count(String metric) {
        outputs.add(new ForwardingOutput.Count(metric));
    }

    /** Emits a log event; {@code fields} holds keys and values alternately. */
    void log(String component, String message, Object... fields) {
        Map<String, Object> valuesByKey = new LinkedHashMap<>();
        for (int index = 0; index + 1 < fields.length; index += 2) {
            valuesByKey.put((String) fields[index], fields[index + 1]);
        }
        outputs.add(new ForwardingOutput.LogEvent(component, message, valuesByKey));
    }
}
