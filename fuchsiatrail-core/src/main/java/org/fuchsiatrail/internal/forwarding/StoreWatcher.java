package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreReply;

/**
 * Keeps the store replica up to date: reads all items once, then watches for changes, and reads all items again when
 * the store has compacted the history since the known revision or has returned from an older copy.
 *
 * <p>A watch that was pending while the store was unreachable may never be answered, so it is abandoned and repeated
 * once any other call shows that the store is reachable again.
 */
final class StoreWatcher {

    /** How long one watch waits at the store for a change, in milliseconds; each watch is a paid call. */
    private static final long WATCH_WAIT_MILLIS = 20_000;

    /** Timeout of a call beyond the requested wait, in milliseconds; a slow store takes 0.3 s. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;

    /**
     * The initial backoff before a failed call is retried, in milliseconds; well below the time within which a
     * configuration must be in force.
     */
    private static final long MINIMUM_BACKOFF_MILLIS = 150;

    /** The longest backoff, in milliseconds. */
    private static final long MAXIMUM_BACKOFF_MILLIS = 600;

    /**
     * The shortest delay between a change and the next watch, in milliseconds, so that one watch returns several
     * changes.
     */
    private static final long MINIMUM_BATCH_DELAY_MILLIS = 20;

    /**
     * Delay between watches for each router of a large fleet, in milliseconds; limits a fleet to about 65 watches a
     * second.
     */
    private static final double BATCH_DELAY_PER_ROUTER_MILLIS = 15;

    /**
     * The longest delay between watches, in milliseconds; half of the shortest time within which a configuration must
     * be in force.
     */
    private static final long MAXIMUM_BATCH_DELAY_MILLIS = 1_000;

    private final ForwardingContext context;
    private final StoreCallTable store;
    private final StoreReplica replica;
    private final List<StoreItem> pages = new ArrayList<>();
    private boolean readingAllItems = true;
    private boolean callPending;
    private long calledAtMillis;
    private long callNumber;
    private long nextCallAtMillis;
    private long backoffMillis = MINIMUM_BACKOFF_MILLIS;
    private long firstPageRevision;
    private String afterKey = "";

    StoreWatcher(ForwardingContext context, StoreCallTable store, StoreReplica replica) {
        this.context = context;
        this.store = store;
        this.replica = replica;
        store.era().onChange(this::beginEra);
    }

    /** Abandons the pending call, whose reply would not count, and reads all items; a large fleet not all at once. */
    private void beginEra() {
        callNumber++;
        callPending = false;
        readingAllItems = true;
        afterKey = "";
        backoffMillis = MINIMUM_BACKOFF_MILLIS;
        delayNextCall(context.random().nextLong(batchDelayMillis(replica.memberCount())));
    }

    void run() {
        replica.run();
        boolean watching = callPending && !readingAllItems;
        boolean storeFailed = store.lastFailureAtMillis() >= calledAtMillis;
        boolean suspended = !context.suspensions().ranSince(calledAtMillis);
        if (watching && (suspended || (storeFailed && store.healthy()))) {
            context.count("store.watches-abandoned");
            callPending = false;
        } else if (watching
                && !storeFailed
                && store.lastSuccessAtMillis() > calledAtMillis
                && store.lastSuccessAtMillis() == context.now()) {
            // The store answers, so the watch would have told of changes.
            replica.contact().confirmByMessage();
        }
        if (callPending || context.now() < nextCallAtMillis) {
            return;
        }
        callPending = true;
        calledAtMillis = context.now();
        long number = ++callNumber;
        if (readingAllItems) {
            long knownRevision = replica.revision();
            store.call(new StoreCall.ReadAll(afterKey), RESPONSE_TIMEOUT_MILLIS, reply -> {
                if (number == callNumber && !showsLoss(reply, knownRevision)) {
                    receivePage(reply);
                }
            });
        } else {
            store.call(
                    new StoreCall.Watch(replica.revision(), WATCH_WAIT_MILLIS),
                    WATCH_WAIT_MILLIS + RESPONSE_TIMEOUT_MILLIS,
                    reply -> {
                        if (number == callNumber) {
                            receiveWatchReply(reply);
                        } else if (reply instanceof StoreReply.Changes lateChanges) {
                            lateChanges.items().forEach(replica::applyGuarded);
                        }
                    });
        }
    }

    /** Returns whether the store has a lower revision than one that was known before the read, and handles that. */
    private boolean showsLoss(StoreReply reply, long knownRevision) {
        boolean loss = reply instanceof StoreReply.Page page && page.revision() < knownRevision;
        if (loss) {
            store.era().observeLoss(knownRevision, ((StoreReply.Page) reply).revision());
        }
        return loss;
    }

    private void receivePage(StoreReply reply) {
        callPending = false;
        if (!(reply instanceof StoreReply.Page page)) {
            backOff();
            return;
        }
        backoffMillis = MINIMUM_BACKOFF_MILLIS;
        if (afterKey.isEmpty()) {
            pages.clear();
            firstPageRevision = page.revision();
        }
        pages.addAll(page.items());
        if (page.more() && !page.items().isEmpty()) {
            readNextPage(page);
            return;
        }
        afterKey = "";
        readingAllItems = false;
        replica.replaceAll(pages, firstPageRevision);
        pages.clear();
        confirmContact();
        context.log("store", "All store items read.", "revision", firstPageRevision);
    }

    /** The next page begins after the last key that can be read; items without a readable key have an empty one. */
    private void readNextPage(StoreReply.Page page) {
        String lastKey = page.items().stream()
                .map(StoreItem::key)
                .filter(key -> !key.isEmpty())
                .reduce("", (earlier, later) -> later);
        if (lastKey.isEmpty() || lastKey.equals(afterKey)) {
            context.log(
                    "store", "Page of store items without a new key; reading all items again.", "afterKey", afterKey);
            afterKey = "";
            backOff();
            return;
        }
        afterKey = lastKey;
    }

    private void receiveWatchReply(StoreReply reply) {
        callPending = false;
        switch (reply) {
            case StoreReply.Changes changes -> {
                backoffMillis = MINIMUM_BACKOFF_MILLIS;
                changes.items().forEach(replica::applyGuarded);
                replica.advanceRevision(changes.revision());
                confirmContact();
                delayNextCall(batchDelayMillis(replica.memberCount()));
            }
            case StoreReply.HistoryCompacted compacted -> {
                readingAllItems = true;
                context.log(
                        "store",
                        "Store history compacted; reading all items again.",
                        "knownRevision",
                        replica.revision());
            }
            default -> backOff();
        }
    }

    /**
     * Returns the delay between two watches for a fleet size. Watches are paid calls, and each change ends those of all
     * routers.
     */
    static long batchDelayMillis(int routers) {
        return GossipTopology.usesRelays(routers)
                ? Math.min(MAXIMUM_BATCH_DELAY_MILLIS, Math.round(routers * BATCH_DELAY_PER_ROUTER_MILLIS))
                : MINIMUM_BATCH_DELAY_MILLIS;
    }

    /** Records the contact with the store, unless the answer of a call may have waited during a suspension. */
    private void confirmContact() {
        if (context.suspensions().ranSince(calledAtMillis)) {
            replica.contact().confirm();
        }
    }

    private void backOff() {
        delayNextCall(backoffMillis / 2 + context.random().nextLong(backoffMillis));
        backoffMillis = Math.min(MAXIMUM_BACKOFF_MILLIS, backoffMillis * 2);
    }

    private void delayNextCall(long delayMillis) {
        nextCallAtMillis = context.now() + delayMillis;
        context.wakeAt(nextCallAtMillis);
    }
}
