package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.OrderReply;

/**
 * Protects upstreams from requests that crash them: detects crashes from the outcome of attempts, and quarantines
 * requests and prompt parts that keep crashing upstreams.
 */
final class CrashProtection {

    /**
     * How long a stream must have produced events for its prompt parts not to be suspected, in milliseconds; a crashing
     * part ends the engine when that begins to answer.
     */
    private static final long HARMLESS_STREAM_MILLIS = 1_000;

    private static final long[] NO_PARTS = {};

    private final ForwardingContext context;
    private final PromptPartTracker promptParts;
    private final CrashTracker tracker;
    private final CrashDetector detector;
    private final SuspectedEnds suspectedEnds;
    private final SharedQuarantines quarantines;

    CrashProtection(ForwardingContext context, StoreCallTable store, StoreReplica replica) {
        this.context = context;
        promptParts = new PromptPartTracker(context, () -> DarkSights.areTold(context, replica));
        tracker = new CrashTracker(context, promptParts);
        detector = new CrashDetector(context, tracker);
        suspectedEnds = new SuspectedEnds(context, replica, tracker, detector);
        quarantines = new SharedQuarantines(context, store, replica, List.of(tracker, promptParts));
    }

    /**
     * The reason why a request is sent to no upstream.
     *
     * @param millisLeft how much longer it applies, in milliseconds
     * @param reason a description for the log
     */
    record Quarantine(long millisLeft, String reason) {}

    /** The crashes of requests that routers send each other. */
    CrashTracker tracker() {
        return tracker;
    }

    /** The prompt parts that routers clear for each other. */
    PromptPartTracker promptParts() {
        return promptParts;
    }

    /** Returns the quarantine of a request or of a part of its prompt, if there is one. */
    Optional<Quarantine> quarantine(PendingCall pending) {
        long requestMillisLeft = quarantines.millisLeft(tracker, pending.fingerprint);
        if (requestMillisLeft > 0) {
            return Optional.of(new Quarantine(requestMillisLeft, "the request crashed several upstreams"));
        }
        long[] parts = pending.sharedPartKeys;
        for (int index = 0; index < parts.length; index++) {
            long partMillisLeft = quarantines.millisLeft(promptParts, parts[index]);
            if (partMillisLeft > 0) {
                String partId = pending.call.sharedParts().get(index).id();
                return Optional.of(
                        new Quarantine(partMillisLeft, "prompt part " + partId + " crashed several upstreams"));
            }
        }
        return Optional.empty();
    }

    /** The number of upstream incarnations that this router knows a request to have crashed. */
    int knownCrashes(PendingCall pending) {
        return tracker.knownCrashes(pending.fingerprint);
    }

    /** Records an event of the current attempt of a request. */
    void recordEvent(PendingCall pending, AttemptEvent event) {
        recordEvent(HeldAttempt.of(pending), event);
    }

    /** Records an event of one attempt of a request. */
    void recordEvent(HeldAttempt attempt, AttemptEvent event) {
        recordConnection(attempt, event);
        if (!attempt.relayed() && comesFromExpectedUpstream(event)) {
            detector.recordAnswer(attempt.incarnation());
        }
    }

    private void recordConnection(HeldAttempt attempt, AttemptEvent event) {
        UpstreamState upstream = attempt.upstream();
        long sentAtMillis = upstream.sentAtMillis(attempt.attempt(), context.now());
        if (attempt.relayed() && event instanceof AttemptEvent.Answered answered) {
            suspectedEnds.recordRouterAnswer(
                    attempt.incarnation(), answered.head().withoutPath());
        } else if (attempt.relayed() && event instanceof AttemptEvent.Started) {
            suspectedEnds.recordRouterAnswer(attempt.incarnation(), false);
        }
        if (!(event instanceof AttemptEvent.Lost lost)) {
            suspectedEnds.recordReached(attempt.incarnation(), upstream.connections, sentAtMillis);
        } else if (lost.refused()) {
            suspectedEnds.recordRefused(attempt.incarnation());
        } else if (!lost.sent() && !lost.connected()) {
            suspectedEnds.recordTimeout(attempt.incarnation(), upstream.connections, sentAtMillis);
        }
    }

    /** Records that a probe or order that was sent at a time could not connect to an engine. */
    void recordNotConnected(UpstreamState engine, OrderReply.NotConnected reply, long sentAtMillis) {
        if (reply.refused()) {
            suspectedEnds.recordRefused(engine.incarnationId());
        } else {
            suspectedEnds.recordTimeout(engine.incarnationId(), engine.connections, sentAtMillis);
        }
    }

    /** Records that an engine answered a probe or order that was sent at a time. */
    void recordReached(UpstreamState engine, long sentAtMillis) {
        suspectedEnds.recordReached(engine.incarnationId(), engine.connections, sentAtMillis);
    }

    /** A misdirected request was answered by another process, which may have replaced the upstream that ended. */
    private static boolean comesFromExpectedUpstream(AttemptEvent event) {
        return switch (event) {
            case AttemptEvent.Answered answered -> answered.head().status() != CallTiming.MISDIRECTED_STATUS;
            case AttemptEvent.Mismatched mismatched -> false;
            case AttemptEvent.Lost lost -> false;
            case AttemptEvent.Started started -> true;
            case AttemptEvent.Progressed progressed -> true;
            case AttemptEvent.Finished finished -> true;
        };
    }

    /** Records that the current attempt of a request ended without an answer, by a loss or because it was given up. */
    void recordUnanswered(PendingCall pending, boolean givenUp) {
        if (givenUp) {
            recordGivenUp(pending);
        } else {
            recordLost(pending);
        }
    }

    private void recordLost(PendingCall pending) {
        if (pending.relayed) {
            return;
        }
        detector.recordLost(pending.attempt, possibleCrash(pending));
    }

    /** Records that the current attempt of a request was given up without an answer. */
    void recordGivenUp(PendingCall pending) {
        if (pending.relayed) {
            return;
        }
        detector.recordGivenUp(pending.attempt, possibleCrash(pending));
    }

    /** Records that a held attempt was lost without a further answer. */
    void recordLost(PendingCall pending, HeldAttempt held) {
        if (!held.relayed()) {
            detector.recordLost(held.attempt(), possibleCrash(pending, held));
        }
    }

    /** Records that a held attempt was given up without a further answer. */
    void recordGivenUp(PendingCall pending, HeldAttempt held) {
        if (!held.relayed()) {
            detector.recordGivenUp(held.attempt(), possibleCrash(pending, held));
        }
    }

    /** Records that the current attempt of a request, which was given up, has answered since. */
    void recordGoingOn(PendingCall pending) {
        detector.withdraw(pending.attempt);
    }

    private static PeerMessage.SeenCrash possibleCrash(PendingCall pending) {
        return possibleCrash(pending, HeldAttempt.of(pending));
    }

    private static PeerMessage.SeenCrash possibleCrash(PendingCall pending, HeldAttempt attempt) {
        boolean streamedLong = attempt.lastEventAtMillis() - attempt.firstEventAtMillis() >= HARMLESS_STREAM_MILLIS;
        return new PeerMessage.SeenCrash(
                pending.fingerprint, attempt.incarnation(), streamedLong ? NO_PARTS : pending.sharedPartKeys);
    }

    /** Records an event of an attempt that was given up. */
    void recordLateEvent(AttemptId attempt, AttemptEvent event) {
        if (event instanceof AttemptEvent.Lost lost && !lost.sent()) {
            detector.withdraw(attempt);
        }
    }

    /** Records that an upstream executed a request to the end. */
    void recordCompletion(PendingCall pending) {
        tracker.recordCompletion(pending.fingerprint);
        promptParts.recordCompletion(pending.sharedPartKeys);
    }

    /** Records that the store shows the end of an incarnation of an upstream. */
    void recordEndInStore(UpstreamId incarnation) {
        detector.recordEnded(incarnation);
    }

    /** Records a sign that an incarnation of an upstream has ended, which counts only once its end is certain. */
    void recordEnded(UpstreamId incarnation) {
        suspectedEnds.judge(incarnation);
    }

    void run() {
        suspectedEnds.run();
        detector.run();
        tracker.run();
        promptParts.run();
        quarantines.run();
    }
}
