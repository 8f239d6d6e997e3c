package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreReply;

/**
 * Keeps the known items up to date: reads everything once, then watches, and reads again when history was dropped.
 *
 * <p>A watch that was waiting while the store was lost may never be answered, so it is asked anew once any other call
 * shows that the store is back.
 */
final class StoreWatcher {

    /** How long one watch waits at the store, in milliseconds; each watch is a paid call. */
    private static final long WATCH_MILLIS = 20_000;

    /** What an answer may take beyond the wait that was asked for, in milliseconds; a slow store takes 0.3 s. */
    private static final long ANSWER_MILLIS = 1_500;

    /** Pause before a failed call is repeated, in milliseconds; well below the time to put a configuration in force. */
    private static final long SHORTEST_BACKOFF_MILLIS = 150;

    /** The longest such pause, in milliseconds. */
    private static final long LONGEST_BACKOFF_MILLIS = 600;

    /** The shortest pause after a change before the next watch, in milliseconds, so that one call returns several. */
    private static final long SHORTEST_GATHER_MILLIS = 20;

    /** Pause for each router of the fleet, in milliseconds: all together make about 65 watches a second at most. */
    private static final double GATHER_PER_ROUTER_MILLIS = 15;

    /** The longest such pause, in milliseconds; half of the shortest time to put a configuration in force. */
    private static final long LONGEST_GATHER_MILLIS = 1_000;

    private final ForwardingContext context;
    private final StoreCallTable store;
    private final StoreReplica known;
    private final List<StoreItem> pages = new ArrayList<>();
    private boolean reading = true;
    private boolean waiting;
    private long askedAtMillis;
    private long round;
    private long nextCallAtMillis;
    private long backoffMillis = SHORTEST_BACKOFF_MILLIS;
    private long firstPageRevision;
    private String afterKey = "";

    StoreWatcher(ForwardingContext context, StoreCallTable store, StoreReplica known) {
        this.context = context;
        this.store = store;
        this.known = known;
    }

    void run() {
        boolean lostMeanwhile = waiting && store.healthy() && store.lastTroubleAtMillis() >= askedAtMillis;
        if (lostMeanwhile && !reading) {
            context.count("store.watches-abandoned");
            waiting = false;
        }
        if (waiting || context.now() < nextCallAtMillis) {
            return;
        }
        waiting = true;
        askedAtMillis = context.now();
        long asked = ++round;
        if (reading) {
            store.call(new StoreCall.ReadAll(afterKey), ANSWER_MILLIS, this::takePage);
        } else {
            store.call(new StoreCall.Watch(known.revision(), WATCH_MILLIS), WATCH_MILLIS + ANSWER_MILLIS, reply -> {
                if (asked == round) {
                    takeNews(reply);
                } else if (reply instanceof StoreReply.Changes late) {
                    late.items().forEach(known::apply);
                }
            });
        }
    }

    private void takePage(StoreReply reply) {
        waiting = false;
        if (!(reply instanceof StoreReply.Page page)) {
            backOff();
            return;
        }
        backoffMillis = SHORTEST_BACKOFF_MILLIS;
        if (afterKey.isEmpty()) {
            pages.clear();
            firstPageRevision = page.revision();
        }
        pages.addAll(page.items());
        if (page.more() && !page.items().isEmpty()) {
            afterKey = page.items().getLast().key();
            return;
        }
        afterKey = "";
        reading = false;
        known.replaceAll(pages, firstPageRevision);
        pages.clear();
        context.log("store", "All items read.", "revision", firstPageRevision);
    }

    private void takeNews(StoreReply reply) {
        waiting = false;
        switch (reply) {
            case StoreReply.Changes changes -> {
                backoffMillis = SHORTEST_BACKOFF_MILLIS;
                changes.items().forEach(known::apply);
                known.coveredUpTo(changes.revision());
                pause(gatherMillis(known.memberCount()));
            }
            case StoreReply.HistoryCompacted gone -> {
                reading = true;
                context.log("store", "History dropped.", "knownRevision", known.revision());
            }
            default -> backOff();
        }
    }

    /** The pause between two watches in a fleet of some size; watches are paid, and each change ends all of them. */
    static long gatherMillis(int routers) {
        return GossipTopology.large(routers)
                ? Math.min(LONGEST_GATHER_MILLIS, Math.round(routers * GATHER_PER_ROUTER_MILLIS))
                : SHORTEST_GATHER_MILLIS;
    }

    private void backOff() {
        pause(backoffMillis / 2 + context.random().nextLong(backoffMillis));
        backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, backoffMillis * 2);
    }

    private void pause(long millis) {
        nextCallAtMillis = context.now() + millis;
        context.wakeAt(nextCallAtMillis);
    }
}
