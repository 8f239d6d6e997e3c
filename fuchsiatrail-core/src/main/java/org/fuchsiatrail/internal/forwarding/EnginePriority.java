package org.fuchsiatrail.internal.forwarding;

/**
 * The urgency that engines go by: the rank of the customer or route, and within a rank short prompts first.
 *
 * <p>Load pattern: a long prompt takes an engine a quarter of a second to read. A short one that waits behind it misses
 * its objective; the long one hardly notices a short one before it.
 */
final class EnginePriority {

    /** Ranks above this share the least urgent classes; engines know ten. */
    private static final int HIGHEST_RANK = 4;

    private EnginePriority() {}

    static int of(CallRow row) {
        int rank = Math.clamp(row.priority(), 0, HIGHEST_RANK);
        return 2 * rank + (UpstreamPlacement.isShort(row.call.inputTokens()) ? 0 : 1);
    }
}
