package org.fuchsiatrail.internal.forwarding;

/**
 * The scheduling priority passed to engines: the rank of the customer or route, and within a rank short prompts first.
 *
 * <p>Load pattern: prefill of a long prompt takes an engine a quarter of a second. A short prompt queued behind it
 * misses its latency target, while the long one is hardly delayed by a short one ahead of it.
 */
final class EnginePriority {

    /** Higher ranks share the two least urgent of the ten priorities that engines support. */
    private static final int MAXIMUM_RANK = 4;

    private EnginePriority() {}

    static int of(PendingCall pending) {
        int rank = Math.clamp(pending.priority(), 0, MAXIMUM_RANK);
        return 2 * rank + (UpstreamPlacement.isShort(pending.call.inputTokens()) ? 0 : 1);
    }
}
