package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreReply;

/**
 * Tracks the pending calls to the platform's store, their timeouts, and whether the last call succeeded. A reply to a
 * call that was sent in another era of the store counts as failed.
 */
final class StoreCallTable {

    private final ForwardingContext context;
    private final StoreEra era;
    private final Map<Long, PendingStoreCall> pending = new LinkedHashMap<>();
    private long nextNumber = 1;
    private long lastFailureAtMillis = Long.MIN_VALUE / 2;
    private long lastSuccessAtMillis = Long.MIN_VALUE / 2;
    private long lastReturnAtMillis = Long.MIN_VALUE / 2;
    private boolean healthy = true;

    private record PendingStoreCall(
            StoreCall call, long deadlineAtMillis, long sentInEra, Consumer<StoreReply> listener) {}

    StoreCallTable(ForwardingContext context) {
        this.context = context;
        this.era = new StoreEra(context);
        // Entries may have expired while the store was away, even if no call failed.
        era.onChange(() -> lastFailureAtMillis = context.now());
    }

    StoreEra era() {
        return era;
    }

    void call(StoreCall call, long timeoutMillis, Consumer<StoreReply> listener) {
        long number = nextNumber++;
        long deadlineAtMillis = context.now() + timeoutMillis;
        pending.put(number, new PendingStoreCall(call, deadlineAtMillis, era.current(), listener));
        context.wakeAt(deadlineAtMillis);
        context.emit(new ForwardingOutput.CallStore(number, call, timeoutMillis));
    }

    /** Handles the reply to a call, which may name the era of the store. */
    void answer(long number, StoreReply receivedReply, long repliedInEra) {
        era.observe(repliedInEra);
        PendingStoreCall answered = pending.remove(number);
        if (answered == null) {
            context.count("store.late-answers");
            return;
        }
        StoreReply reply = receivedReply;
        if (isFromOtherEra(answered, repliedInEra)) {
            context.count("store.answers-of-other-eras");
            reply = new StoreReply.Failed(true, "the store returned from an older copy meanwhile");
        }
        updateHealth(answered, reply);
        try {
            answered.listener().accept(reply);
        } catch (RuntimeException | Error e) {
            // Whoever made the call waits for its reply, and repeats calls that have failed.
            answered.listener().accept(new StoreReply.Failed(true, "reply could not be handled: " + e));
            throw e;
        }
    }

    private boolean isFromOtherEra(PendingStoreCall answered, long repliedInEra) {
        boolean repliedBefore = repliedInEra != StoreReply.UNKNOWN_ERA && repliedInEra < era.current();
        boolean sentBefore = answered.sentInEra() != StoreReply.UNKNOWN_ERA && answered.sentInEra() < era.current();
        return repliedBefore || sentBefore;
    }

    private void updateHealth(PendingStoreCall answered, StoreReply reply) {
        if (!(reply instanceof StoreReply.Failed)) {
            lastSuccessAtMillis = context.now();
        }
        if (reply instanceof StoreReply.Failed failed) {
            lastFailureAtMillis = context.now();
            context.count("store.failed-calls");
            if (healthy) {
                healthy = false;
                context.log(
                        "store",
                        "Store call failed; the store is considered unavailable.",
                        "call",
                        answered.call().label(),
                        "reason",
                        failed.reason());
            }
        } else if (!healthy) {
            healthy = true;
            lastReturnAtMillis = context.now();
            context.log(
                    "store", "Store available again.", "call", answered.call().label());
        }
    }

    void run() {
        List<Long> timedOut = new ArrayList<>();
        pending.forEach((number, call) -> {
            if (context.now() >= call.deadlineAtMillis()) {
                timedOut.add(number);
            }
        });
        timedOut.forEach(number ->
                answer(number, new StoreReply.Failed(true, "no response within the timeout"), StoreReply.UNKNOWN_ERA));
    }

    boolean healthy() {
        return healthy;
    }

    /** The time of the last call that the store answered, in milliseconds. */
    long lastSuccessAtMillis() {
        return lastSuccessAtMillis;
    }

    /** The time of the last failed call, in milliseconds. */
    long lastFailureAtMillis() {
        return lastFailureAtMillis;
    }

    /** For how long the store has been available without a failed call, in milliseconds. */
    long availableForMillis() {
        return healthy ? context.now() - Math.max(lastFailureAtMillis, lastReturnAtMillis) : 0;
    }
}
