package org.fuchsiatrail.standins.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;

/** A model of the platform's key-value store with compare-and-swap, leases, watches and a list of VMs. */
public final class StoreModel {

    private static final int MAXIMUM_VALUE_BYTES = 1024 * 1024;

    private final Map<String, StoreResult.Found> values = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private List<EntryVm> vms = new ArrayList<>();
    private long lastVersion;
    private long lastFencingToken;
    private long reads;
    private long writes;

    private record Lease(String holder, long fencingToken, long expiresAtMillis) {}

    private record Watcher(StoreRequest.Watch watch, long expiresAtMillis, Consumer<StoreResult> listener) {}

    /**
     * Executes a call.
     *
     * @param now the current time in milliseconds
     * @param request the call
     * @param listener receives the result: at once, or for a watch when its key changes or its wait time ends
     */
    public void call(long now, StoreRequest request, Consumer<StoreResult> listener) {
        if (request instanceof StoreRequest.Watch watch) {
            reads++;
            watchers.add(new Watcher(watch, now + watch.waitMillis(), listener));
            advance(now);
            return;
        }
        listener.accept(execute(now, request));
        advance(now);
    }

    private StoreResult execute(long now, StoreRequest request) {
        return switch (request) {
            case StoreRequest.Read read -> read(read.key());
            case StoreRequest.CompareAndSwap swap -> compareAndSwap(swap);
            case StoreRequest.AcquireLease lease -> acquireLease(now, lease);
            case StoreRequest.Delete delete -> delete(delete.key());
            case StoreRequest.ListVms list -> listVms();
            case StoreRequest.Watch watch -> new StoreResult.Unchanged();
        };
    }

    private StoreResult read(String key) {
        reads++;
        StoreResult.Found found = values.get(key);
        return found == null ? new StoreResult.Missing() : found;
    }

    private StoreResult compareAndSwap(StoreRequest.CompareAndSwap swap) {
        writes++;
        if (swap.value().length > MAXIMUM_VALUE_BYTES) {
            return new StoreResult.Unavailable("the value must not exceed one megabyte");
        }
        StoreResult.Found current = values.get(swap.key());
        long version = current == null ? 0 : current.version();
        if (version != swap.expectedVersion()) {
            return new StoreResult.Conflict();
        }
        lastVersion++;
        values.put(swap.key(), new StoreResult.Found(lastVersion, swap.value()));
        return new StoreResult.Swapped(lastVersion);
    }

    private StoreResult acquireLease(long now, StoreRequest.AcquireLease request) {
        writes++;
        Lease current = leases.get(request.name());
        boolean available = current == null || now >= current.expiresAtMillis();
        if (!available && !current.holder().equals(request.holder())) {
            return new StoreResult.LeaseRefused(current.holder());
        }
        long token = available ? ++lastFencingToken : current.fencingToken();
        leases.put(request.name(), new Lease(request.holder(), token, now + request.durationMillis()));
        return new StoreResult.LeaseGranted(token, request.durationMillis());
    }

    private StoreResult delete(String key) {
        writes++;
        values.remove(key);
        return new StoreResult.Missing();
    }

    private StoreResult listVms() {
        reads++;
        return new StoreResult.VmList(List.copyOf(vms));
    }

    /**
     * Completes the watches whose key has changed or whose wait time has ended.
     *
     * @param now the current time in milliseconds
     */
    public void advance(long now) {
        List<Watcher> due = new ArrayList<>();
        for (Watcher watcher : watchers) {
            StoreResult.Found found = values.get(watcher.watch().key());
            boolean changed = found != null && found.version() > watcher.watch().afterVersion();
            if (changed || now >= watcher.expiresAtMillis()) {
                due.add(watcher);
            }
        }
        watchers.removeAll(due);
        for (Watcher watcher : due) {
            StoreResult.Found found = values.get(watcher.watch().key());
            if (found != null && found.version() > watcher.watch().afterVersion()) {
                watcher.listener().accept(found);
            } else {
                watcher.listener().accept(found == null ? new StoreResult.Missing() : new StoreResult.Unchanged());
            }
        }
    }

    /**
     * Sets the list of VMs.
     *
     * @param list the VMs
     */
    public void setVms(List<EntryVm> list) {
        vms = List.copyOf(list);
    }

    /**
     * Returns the number of keys that have a value.
     *
     * @return the number of keys
     */
    public int size() {
        return values.size();
    }

    /**
     * Returns the number of reads, watches and list calls so far.
     *
     * @return the number of calls
     */
    public long reads() {
        return reads;
    }

    /**
     * Returns the number of compare-and-swap, lease and delete calls so far.
     *
     * @return the number of calls
     */
    public long writes() {
        return writes;
    }
}
