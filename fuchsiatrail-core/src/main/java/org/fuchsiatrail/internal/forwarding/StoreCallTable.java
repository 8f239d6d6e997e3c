package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreReply;

/** The calls to the store that wait for an answer, and what the last ones say of the store's health. */
final class StoreCallTable {

    private final ForwardingContext context;
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private long nextNumber = 1;
    private long lastTroubleAtMillis = Long.MIN_VALUE / 2;
    private boolean healthy = true;

    private record Open(StoreCall call, long deadlineAtMillis, Consumer<StoreReply> listener) {}

    StoreCallTable(ForwardingContext context) {
        this.context = context;
    }

    void call(StoreCall call, long timeoutMillis, Consumer<StoreReply> listener) {
        long number = nextNumber++;
        long deadline = context.now() + timeoutMillis;
        open.put(number, new Open(call, deadline, listener));
        context.wakeAt(deadline);
        context.emit(new ForwardingOutput.CallStore(number, call, timeoutMillis));
    }

    void answer(long number, StoreReply reply) {
        Open answered = open.remove(number);
        if (answered == null) {
            context.count("store.late-answers");
            return;
        }
        observe(answered, reply);
        answered.listener().accept(reply);
    }

    private void observe(Open answered, StoreReply reply) {
        if (reply instanceof StoreReply.Failed failed) {
            lastTroubleAtMillis = context.now();
            context.count("store.failed-calls");
            if (healthy) {
                healthy = false;
                context.log("store", "Store lost.", "call", answered.call().label(), "reason", failed.reason());
            }
        } else if (!healthy) {
            healthy = true;
            context.log("store", "Store regained.", "call", answered.call().label());
        }
    }

    void run() {
        List<Long> late = new ArrayList<>();
        open.forEach((number, call) -> {
            if (context.now() >= call.deadlineAtMillis()) {
                late.add(number);
            }
        });
        late.forEach(number -> answer(number, new StoreReply.Failed(true, "no answer in time")));
    }

    boolean healthy() {
        return healthy;
    }

    /** When a call failed last. */
    long lastTroubleAtMillis() {
        return lastTroubleAtMillis;
    }
}
