package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;

/** What the forwarding systems share during a tick: the time, the outputs, the settings and seeded chance. */
final class ForwardingContext {

    private final ForwardingSettings settings;
    private final SplittableRandom random;
    private final PriorityQueue<Long> wakeUps = new PriorityQueue<>();
    private List<ForwardingOutput> outputs = new ArrayList<>();
    private long nowMillis;
    private long startedAtMillis = Long.MIN_VALUE;
    private boolean stopping;
    private long stopAskedAtMillis = Long.MAX_VALUE;

    ForwardingContext(ForwardingSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
    }

    void begin(long now) {
        nowMillis = Math.max(nowMillis, now);
        if (startedAtMillis == Long.MIN_VALUE) {
            startedAtMillis = nowMillis;
        }
        outputs = new ArrayList<>();
        while (!wakeUps.isEmpty() && wakeUps.peek() <= nowMillis) {
            wakeUps.poll();
        }
    }

    List<ForwardingOutput> finish() {
        return outputs;
    }

    long now() {
        return nowMillis;
    }

    /** The time since this router started. */
    long ageMillis() {
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
        stopAskedAtMillis = nowMillis;
    }

    /** The time since a stop was asked, or 0 when none was. */
    long stoppingMillis() {
        return stopping ? nowMillis - stopAskedAtMillis : 0;
    }

    /** Has a tick run at a time, at the latest. */
    void wakeAt(long millis) {
        wakeUps.add(millis);
    }

    long nextWakeUp() {
        return wakeUps.isEmpty() ? Long.MAX_VALUE : wakeUps.peek();
    }

    void emit(ForwardingOutput output) {
        outputs.add(output);
    }

    void count(String metric) {
        outputs.add(new ForwardingOutput.Count(metric));
    }

    /** Writes a log line; the fields are keys and values in turn. */
    void log(String part, String sentence, Object... fields) {
        Map<String, Object> named = new LinkedHashMap<>();
        for (int index = 0; index + 1 < fields.length; index += 2) {
            named.put((String) fields[index], fields[index + 1]);
        }
        outputs.add(new ForwardingOutput.LogEvent(part, sentence, named));
    }
}
