package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.Dispatch;

/** Derives the parameters of an attempt from its request and the upstream that was selected. */
final class Dispatches {

    private Dispatches() {}

    static Dispatch of(PendingCall pending, long remainingMillis) {
        UpstreamState upstream = pending.upstream;
        Long version = pending.route.describesPrompt() ? upstream.weightVersions.get(pending.call.model()) : null;
        return new Dispatch(
                upstream.id(),
                upstream.entry.address(),
                remainingMillis,
                pending.customer.map(CustomerEntry::id),
                version == null ? OptionalLong.empty() : OptionalLong.of(version),
                pending.placement.chain().salt(),
                pending.route.describesPrompt() ? OptionalInt.of(EnginePriority.of(pending)) : OptionalInt.empty(),
                pending.lastEventId,
                resumedAttemptId(pending),
                pending.relayed ? Optional.of(pending.relayAllowance()) : Optional.empty(),
                pending.placement.fetchFrom(),
                pending.placement.saveTo());
    }

    /** A stream that the router itself resumes began with the caller's current attempt. */
    private static String resumedAttemptId(PendingCall pending) {
        boolean begunByThisAttempt = pending.call.resumedAttemptId().isEmpty() && !pending.lastEventId.isEmpty();
        return begunByThisAttempt ? pending.call.callerAttemptId() : pending.call.resumedAttemptId();
    }
}
