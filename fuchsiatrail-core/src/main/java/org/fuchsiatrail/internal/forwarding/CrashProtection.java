package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;

/**
 * Protects upstreams from requests that crash them: detects crashes from the outcome of attempts, and quarantines
 * requests that keep crashing upstreams.
 */
final class CrashProtection {

    private final CrashTracker tracker;
    private final CrashDetector detector;
    private final SharedQuarantines quarantines;

    CrashProtection(ForwardingContext context, StoreCallTable store, StoreReplica replica) {
        tracker = new CrashTracker(context);
        detector = new CrashDetector(context, tracker);
        quarantines = new SharedQuarantines(context, store, replica, tracker);
    }

    /** The crashes that routers tell each other. */
    CrashTracker tracker() {
        return tracker;
    }

    /** Returns how much longer a request is quarantined, in milliseconds, or 0 when it is not. */
    long quarantineMillisLeft(PendingCall pending) {
        return quarantines.millisLeft(pending.fingerprint);
    }

    /** The number of upstream incarnations that this router knows a request to have crashed. */
    int knownCrashes(PendingCall pending) {
        return tracker.knownCrashes(pending.fingerprint);
    }

    /** Records an event of the current attempt of a request. */
    void recordEvent(PendingCall pending, AttemptEvent event) {
        if (comesFromExpectedUpstream(event)) {
            detector.recordAnswer(pending.incarnation);
        }
    }

    /** A misdirected request was answered by another process, which may have replaced the upstream that ended. */
    private static boolean comesFromExpectedUpstream(AttemptEvent event) {
        return switch (event) {
            case AttemptEvent.Answered answered -> answered.head().status() != CallTiming.MISDIRECTED_STATUS;
            case AttemptEvent.Lost lost -> false;
            case AttemptEvent.Started started -> true;
            case AttemptEvent.Progressed progressed -> true;
            case AttemptEvent.Finished finished -> true;
        };
    }

    /** Records that the current attempt of a request was sent and lost without an answer. */
    void recordLost(PendingCall pending) {
        detector.recordLost(pending.attempt, pending.fingerprint, pending.incarnation);
    }

    /** Records that the current attempt of a request was given up without an answer. */
    void recordGivenUp(PendingCall pending) {
        detector.recordGivenUp(pending.attempt, pending.fingerprint, pending.incarnation);
    }

    /** Records an event of an attempt that was given up. */
    void recordLateEvent(AttemptId attempt, AttemptEvent event) {
        if (event instanceof AttemptEvent.Lost lost && !lost.sent()) {
            detector.recordNotSent(attempt);
        }
    }

    /** Records that an upstream executed a request to the end. */
    void recordCompletion(PendingCall pending) {
        tracker.recordCompletion(pending.fingerprint);
    }

    /** Records that an incarnation of an upstream has ended. */
    void recordEnded(UpstreamId incarnation) {
        detector.recordEnded(incarnation);
    }

    void run() {
        detector.run();
        tracker.run();
        quarantines.run();
    }
}
