package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.PeerUpdateSize;

/**
 * Limits the bytes that a router sends to its neighbours in a tree, whatever their number.
 *
 * <p>An update always contains its envelope and what others rely on at once, such as crashes and pauses. Work and
 * caches, of which the sender has more than fits in a large fleet, share what these leave of the allowance.
 */
final class UpdateAllowance {

    /** Bytes a millisecond for updates; the rest of the users' limit of 24 KB is for store items and queries. */
    private static final double BYTES_PER_MILLI = 19;

    /** The time for which an unused allowance is kept, in milliseconds. */
    private static final long RETENTION_MILLIS = 600;

    /** Bytes of the sender's identity, of its revision and of field names. */
    private static final int ENVELOPE_BYTES = 240;

    /** The most content of an update, in bytes, so that a router with several children does not receive too much. */
    private static final int MAXIMUM_CONTENT_BYTES = 1_300;

    /** The least content of an update, in bytes. */
    private static final int MINIMUM_CONTENT_BYTES = 120;

    private static final int BYTES_PER_WORK_CHANGE = 20;

    /** The most content that work may take, in bytes. */
    private static final int MAXIMUM_WORK_BYTES = 500;

    /** The fraction of the content that work may take; the rest is for caches. */
    private static final double WORK_FRACTION = 0.6;

    private double allowedBytes;
    private long refilledAtMillis;

    /**
     * Returns the most bytes of work and caches in an update.
     *
     * @param recipients all neighbours, among which the allowance is divided
     * @param nowMillis the time
     */
    int contentBytes(GossipTopology.Recipients recipients, long nowMillis) {
        refill(nowMillis);
        int neighbours =
                Math.max(1, recipients.upward().size() + recipients.children().size());
        return (int)
                Math.clamp(allowedBytes / neighbours - ENVELOPE_BYTES, MINIMUM_CONTENT_BYTES, MAXIMUM_CONTENT_BYTES);
    }

    /** Records that an update is sent to some recipients. */
    void recordSent(PeerMessage.ForwardingNews update, int recipients, long nowMillis) {
        refill(nowMillis);
        allowedBytes -= recipients * PeerUpdateSize.of(update).total();
    }

    private void refill(long nowMillis) {
        long elapsedMillis = Math.min(nowMillis - refilledAtMillis, RETENTION_MILLIS);
        allowedBytes = Math.min(allowedBytes + elapsedMillis * BYTES_PER_MILLI, RETENTION_MILLIS * BYTES_PER_MILLI);
        refilledAtMillis = nowMillis;
    }

    /** Returns the most changes of work in content of a size. */
    static int workChanges(int contentBytes) {
        return (int) Math.min(contentBytes * WORK_FRACTION, MAXIMUM_WORK_BYTES) / BYTES_PER_WORK_CHANGE;
    }

    /** Returns the size of changes of work. */
    static int workBytes(int changes) {
        return changes * BYTES_PER_WORK_CHANGE;
    }
}
