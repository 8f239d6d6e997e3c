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

/** Calls to the platform's store: numbers them, dispatches results to their callbacks, and ends calls by timeout. */
public final class StoreCalls {

    private final RouterContext context;
    private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
    private long nextCallNumber = 1;

    /**
     * Creates a client without pending calls.
     *
     * @param context the router's context
     */
    public StoreCalls(RouterContext context) {
        this.context = context;
    }

    private record PendingCall(long expiresAtMillis, Consumer<StoreResult> callback) {}

    /**
     * Calls the store with the configured timeout.
     *
     * @param request the request
     * @param callback receives the result, or {@link StoreResult.Unavailable} after the timeout; called once
     */
    public void call(StoreRequest request, Consumer<StoreResult> callback) {
        call(request, context.settings().storeTimeoutMillis(), callback);
    }

    /**
     * Calls the store with a specific timeout.
     *
     * @param request the request
     * @param timeoutMillis the timeout
     * @param callback receives the result, or {@link StoreResult.Unavailable} after the timeout; called once
     */
    public void call(StoreRequest request, long timeoutMillis, Consumer<StoreResult> callback) {
        long number = nextCallNumber++;
        pendingCalls.put(number, new PendingCall(context.now() + timeoutMillis, callback));
        context.count("store.calls");
        context.emit(new Output.CallStore(number, request, timeoutMillis));
    }

    /**
     * Passes a result to the callback of its call; a late or repeated result is dropped.
     *
     * @param call the number of the call
     * @param result the result
     */
    public void complete(long call, StoreResult result) {
        PendingCall pending = pendingCalls.remove(call);
        if (pending == null) {
            context.count("store.late-answers");
            return;
        }
        pending.callback().accept(result);
    }

    /** Ends calls whose timeout has elapsed. */
    public void run() {
        List<PendingCall> expired = new ArrayList<>();
        pendingCalls.values().removeIf(call -> {
            boolean isExpired = call.expiresAtMillis() <= context.now();
            if (isExpired) {
                expired.add(call);
            }
            return isExpired;
        });
        for (PendingCall call : expired) {
            call.callback().accept(new StoreResult.Unavailable("no response before the timeout"));
        }
    }
}
