package org.fuchsiatrail.wire.peer;

import java.util.ArrayDeque;
import java.util.Queue;

import org.fuchsiatrail.PeerMessage;

/**
 * What waits until the connection to a peer takes it: a queue of messages of bounded size, and one update into which
 * all pure updates are merged. The queue goes first, as somebody waits for a reply.
 */
final class WaitingMessages {

    /** The most bytes in the queue; a link of 7 Mbit/s takes them in 1.2 s. A single message may be longer. */
    static final long MAXIMUM_QUEUED_BYTES = 1024 * 1024;

    /** How long an update waits for a peer out of reach, in milliseconds: as long as routers remember crashes. */
    static final long MAXIMUM_UNREACHABLE_MILLIS = 120_000;

    /** The time from which on an update goes after one more message of the queue at most, in milliseconds. */
    private static final long MAXIMUM_PRECEDENCE_MILLIS = 500;

    private final UpdateEncoder encoder;
    private final PeerTraffic traffic;
    private final Queue<OutgoingMessage> queue = new ArrayDeque<>();
    private long queuedBytes;
    private boolean updateIsNext;
    /** The updates that a broken connection had not taken, or null. */
    private WaitingUpdate returned;
    /** The updates that were to be sent since, or null. */
    private WaitingUpdate update;

    private record WaitingUpdate(PeerMessage.ForwardingNews news, long bytes, long sinceMillis, long asOfMillis) {}

    WaitingMessages(UpdateEncoder encoder, PeerTraffic traffic) {
        this.encoder = encoder;
        this.traffic = traffic;
    }

    void add(OutgoingMessage message) {
        if (message.isPureUpdate()) {
            update = merge(update, toWaiting(message));
        } else if (!queue.isEmpty() && queuedBytes + message.bytes().length > MAXIMUM_QUEUED_BYTES) {
            traffic.recordDropped(1);
        } else {
            queue.add(message);
            queuedBytes += message.bytes().length;
        }
    }

    /** Takes back a message that a connection had not taken when it broke; such messages come in their order. */
    void takeBack(OutgoingMessage message) {
        if (message.isPureUpdate()) {
            returned = merge(returned, toWaiting(message));
        } else {
            traffic.recordDropped(1);
        }
    }

    private static WaitingUpdate toWaiting(OutgoingMessage message) {
        return new WaitingUpdate(message.update(), message.bytes().length, message.sinceMillis(), message.asOfMillis());
    }

    private WaitingUpdate merge(WaitingUpdate older, WaitingUpdate newer) {
        if (older == null || newer == null) {
            return older == null ? newer : older;
        }
        PeerUpdateBound.Bounded merged =
                encoder.merge(older.news(), newer.asOfMillis() - older.asOfMillis(), newer.news());
        traffic.recordMerged(merged.dropped());
        return new WaitingUpdate(
                merged.update(),
                Math.max(older.bytes(), newer.bytes()),
                Math.min(older.sinceMillis(), newer.sinceMillis()),
                newer.asOfMillis());
    }

    boolean isEmpty() {
        return queue.isEmpty() && update == null && returned == null;
    }

    /** Removes and returns the message to send next, or null if none waits. */
    OutgoingMessage poll(long nowMillis) {
        boolean updateWaits = update != null || returned != null;
        boolean updateFirst =
                updateIsNext && updateWaits && nowMillis - updateSinceMillis() >= MAXIMUM_PRECEDENCE_MILLIS;
        if (!queue.isEmpty() && !updateFirst) {
            updateIsNext = updateWaits;
            OutgoingMessage next = queue.remove();
            queuedBytes -= next.bytes().length;
            return next;
        }
        updateIsNext = false;
        return updateWaits ? takeUpdate(nowMillis) : null;
    }

    private OutgoingMessage takeUpdate(long nowMillis) {
        WaitingUpdate all = merge(returned, update);
        returned = null;
        update = null;
        PeerMessage.ForwardingNews news = PeerUpdateAge.afterWait(all.news(), nowMillis - all.asOfMillis());
        return new OutgoingMessage(news, encoder.encode(news), all.sinceMillis(), nowMillis);
    }

    /** Drops the queue, as those who wait for its messages ask again. */
    void discardQueue() {
        traffic.recordDropped(queue.size());
        queue.clear();
        queuedBytes = 0;
    }

    /** Drops the update for a peer out of reach once it has waited too long. */
    void discardExpired(long nowMillis) {
        if (nowMillis - updateSinceMillis() > MAXIMUM_UNREACHABLE_MILLIS) {
            traffic.recordDropped(1);
            returned = null;
            update = null;
        }
    }

    /** Returns the bytes that wait; a merged update counts as the largest of those that it contains. */
    long bytes() {
        return queuedBytes + (returned == null ? 0 : returned.bytes()) + (update == null ? 0 : update.bytes());
    }

    /** Returns since when something has waited, in milliseconds, or {@link Long#MAX_VALUE}. */
    long sinceMillis() {
        return Math.min(queue.isEmpty() ? Long.MAX_VALUE : queue.peek().sinceMillis(), updateSinceMillis());
    }

    private long updateSinceMillis() {
        return Math.min(
                returned == null ? Long.MAX_VALUE : returned.sinceMillis(),
                update == null ? Long.MAX_VALUE : update.sinceMillis());
    }
}
