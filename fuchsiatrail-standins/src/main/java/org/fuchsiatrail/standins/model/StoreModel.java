package org.fuchsiatrail.standins.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;

/** The platform's key-value service with compare-and-swap, leases, watches and a list of VMs. */
public final class StoreModel {

    private static final int LARGEST_VALUE_BYTES = 1024 * 1024;

    private final Map<String, StoreResult.Found> values = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private List<EntryVm> vms = new ArrayList<>();
    private long versions;
    private long fencingTokens;
    private long reads;
    private long writes;

    private record Lease(String holder, long token, long endsMillis) {}

    private record Watcher(StoreRequest.Watch watch, long endsMillis, Consumer<StoreResult> listener) {}

    /**
     * Takes a call.
     *
     * @param now the time
     * @param request the call
     * @param listener takes the answer, at once or, for a watch, later
     */
    public void call(long now, StoreRequest request, Consumer<StoreResult> listener) {
        if (request instanceof StoreRequest.Watch watch) {
            reads++;
            watchers.add(new Watcher(watch, now + watch.waitMillis(), listener));
            advance(now);
            return;
        }
        listener.accept(answer(now, request));
        advance(now);
    }

    private StoreResult answer(long now, StoreRequest request) {
        return switch (request) {
            case StoreRequest.Read read -> read(read.key());
            case StoreRequest.CompareAndSwap swap -> swap(swap);
            case StoreRequest.AcquireLease lease -> acquire(now, lease);
            case StoreRequest.Delete delete -> delete(delete.key());
            case StoreRequest.ListVms list -> list();
            case StoreRequest.Watch watch -> new StoreResult.Unchanged();
        };
    }

    private StoreResult read(String key) {
        reads++;
        StoreResult.Found found = values.get(key);
        return found == null ? new StoreResult.Missing() : found;
    }

    private StoreResult swap(StoreRequest.CompareAndSwap swap) {
        writes++;
        if (swap.value().length > LARGEST_VALUE_BYTES) {
            return new StoreResult.Unavailable("the value is larger than one megabyte");
        }
        StoreResult.Found present = values.get(swap.key());
        long version = present == null ? 0 : present.version();
        if (version != swap.expectedVersion()) {
            return new StoreResult.Conflict();
        }
        versions++;
        values.put(swap.key(), new StoreResult.Found(versions, swap.value()));
        return new StoreResult.Swapped(versions);
    }

    private StoreResult acquire(long now, StoreRequest.AcquireLease wanted) {
        writes++;
        Lease present = leases.get(wanted.name());
        boolean free = present == null || now >= present.endsMillis();
        if (!free && !present.holder().equals(wanted.holder())) {
            return new StoreResult.LeaseRefused(present.holder());
        }
        long token = free ? ++fencingTokens : present.token();
        leases.put(wanted.name(), new Lease(wanted.holder(), token, now + wanted.durationMillis()));
        return new StoreResult.LeaseGranted(token, wanted.durationMillis());
    }

    private StoreResult delete(String key) {
        writes++;
        values.remove(key);
        return new StoreResult.Missing();
    }

    private StoreResult list() {
        reads++;
        return new StoreResult.VmList(List.copyOf(vms));
    }

    /**
     * Answers watches that are due.
     *
     * @param now the time
     */
    public void advance(long now) {
        List<Watcher> due = new ArrayList<>();
        for (Watcher watcher : watchers) {
            StoreResult.Found found = values.get(watcher.watch().key());
            boolean newer = found != null && found.version() > watcher.watch().afterVersion();
            if (newer || now >= watcher.endsMillis()) {
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
     * @param list the list
     */
    public void list(List<EntryVm> list) {
        vms = List.copyOf(list);
    }

    /**
     * Returns the keys that have a value.
     *
     * @return a count
     */
    public int size() {
        return values.size();
    }

    /**
     * Returns the calls that read.
     *
     * @return a count
     */
    public long reads() {
        return reads;
    }

    /**
     * Returns the calls that write.
     *
     * @return a count
     */
    public long writes() {
        return writes;
    }
}
