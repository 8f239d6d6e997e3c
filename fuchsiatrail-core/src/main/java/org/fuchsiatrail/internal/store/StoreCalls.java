package org.fuchsiatrail.internal.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiatrail.Output;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.internal.router.RouterContext;

/** Numbers calls to the platform's store, gives each answer to who asked, and ends calls that stay unanswered. */
public final class StoreCalls {

    private final RouterContext context;
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private long nextCall = 1;

    /**
     * Creates an empty table of calls.
     *
     * @param context the router's context
     */
    public StoreCalls(RouterContext context) {
        this.context = context;
    }

    private record Pending(long expiresAtMillis, Consumer<StoreResult> receiver) {}

    /**
     * Calls the store.
     *
     * @param request the call
     * @param receiver takes the answer, or {@link StoreResult.Unavailable} after the time-out; called once
     */
    public void call(StoreRequest request, Consumer<StoreResult> receiver) {
        call(request, context.settings().storeTimeoutMillis(), receiver);
    }

    /**
     * Calls the store with a time-out of its own.
     *
     * @param request the call
     * @param timeoutMillis the longest wait
     * @param receiver takes the answer once
     */
    public void call(StoreRequest request, long timeoutMillis, Consumer<StoreResult> receiver) {
        long call = nextCall++;
        pending.put(call, new Pending(context.now() + timeoutMillis, receiver));
        context.count("store.calls");
        context.emit(new Output.CallStore(call, request, timeoutMillis));
    }

    /**
     * Hands an answer to who asked; a late or repeated answer is dropped.
     *
     * @param call the number of the call
     * @param result the answer
     */
    public void answer(long call, StoreResult result) {
        Pending asked = pending.remove(call);
        if (asked == null) {
            context.count("store.late-answers");
            return;
        }
        asked.receiver().accept(result);
    }

    /** Ends calls whose time is up. */
    public void run() {
        List<Pending> expired = new ArrayList<>();
        pending.values().removeIf(call -> {
            boolean late = call.expiresAtMillis() <= context.now();
            if (late) {
                expired.add(call);
            }
            return late;
        });
        for (Pending call : expired) {
            call.receiver().accept(new StoreResult.Unavailable("no answer in time"));
        }
    }
}
