package org.fuchsiatrail.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.wire.client.EngineClient;

/** The attempts that run on engines, so that they can be aborted. An attempt may end while it is being started. */
final class RunningAttempts {

    private final Map<AttemptId, AtomicReference<EngineClient.RunningAttempt>> attempts = new ConcurrentHashMap<>();

    /**
     * Starts an attempt.
     *
     * @param id the id of the attempt
     * @param starter starts it; the attempt must run the given action when it ends, on any thread
     */
    void start(AttemptId id, Function<Runnable, EngineClient.RunningAttempt> starter) {
        AtomicReference<EngineClient.RunningAttempt> attempt = new AtomicReference<>();
        attempts.put(id, attempt);
        attempt.set(starter.apply(() -> attempts.remove(id)));
    }

    /** Aborts an attempt unless it has ended. */
    void abort(AttemptId id) {
        AtomicReference<EngineClient.RunningAttempt> attempt = attempts.remove(id);
        if (attempt != null && attempt.get() != null) {
            attempt.get().abort();
        }
    }

    int size() {
        return attempts.size();
    }
}
