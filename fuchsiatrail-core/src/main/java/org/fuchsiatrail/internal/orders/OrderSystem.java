package org.fuchsiatrail.internal.orders;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.StoreCalls;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;
import org.fuchsiatrail.internal.upstreams.UpstreamSystem;

/**
 * Issues orders to engines to load the models that the configuration assigns to them.
 *
 * <p>Only the holder of the order lease in the platform's store issues orders, with the lease's fencing token. An order
 * is issued only when the lease's remaining time exceeds the order's validity. The next holder gets the lease no
 * earlier than it expires, so its orders never overlap with a still valid order, even at an engine that does not check
 * fencing tokens. Each load also holds one of two slot leases in the store, which limits the concurrent loads.
 */
public final class OrderSystem {

    private static final String LEASE_NAME = "fuchsiatrail/orders";
    private static final int LOAD_SLOTS = 2;

    /** The interval between two requests for the order lease, in milliseconds. */
    private static final long LEASE_REQUEST_INTERVAL_MILLIS = 3_000;

    /** The maximum time that a load holds its slot, in milliseconds. */
    private static final long SLOT_LEASE_MILLIS = 60_000;

    /** The delay before a refused or lost order is issued again, in milliseconds. */
    private static final long ORDER_BACKOFF_MILLIS = 2_000;

    /** The interval between two checks for missing models, in milliseconds. */
    private static final long REVIEW_INTERVAL_MILLIS = 200;

    private final RouterContext context;
    private final StoreCalls store;
    private final UpstreamSystem upstreams;
    private final Map<Integer, PendingLoad> loadsBySlot = new HashMap<>();
    private final Map<UpstreamId, Long> nextOrderMillis = new HashMap<>();
    private long fencingToken;
    private long leaseEndsMillis;
    private long nextLeaseRequestMillis;
    private long nextReviewMillis;
    private boolean leaseRequestPending;
    private long nextOrderNumber = 1;

    /**
     * Creates an order system without a lease.
     *
     * @param context the router's context
     * @param store the calls to the platform's store
     * @param upstreams the engines
     */
    public OrderSystem(RouterContext context, StoreCalls store, UpstreamSystem upstreams) {
        this.context = context;
        this.store = store;
        this.upstreams = upstreams;
    }

    private static final class PendingLoad {
        private final String order;
        private final UpstreamRow engine;
        private final ModelVersion model;
        private final long slotEndsMillis;
        private boolean ordered;

        private PendingLoad(String order, UpstreamRow engine, ModelVersion model, long slotEndsMillis) {
            this.order = order;
            this.engine = engine;
            this.model = model;
            this.slotEndsMillis = slotEndsMillis;
        }
    }

    private record MissingModel(UpstreamRow engine, ModelVersion model) {}

    /** Renews the order lease while engines lack models, and issues orders while slots are free. */
    public void run() {
        if (context.now() < nextReviewMillis) {
            return;
        }
        nextReviewMillis = context.now() + REVIEW_INTERVAL_MILLIS;
        releaseFinishedLoads();
        List<MissingModel> missing = missingModels();
        if (missing.isEmpty() && loadsBySlot.isEmpty()) {
            return;
        }
        renewLease();
        if (leaseOutlastsOrder()) {
            missing.forEach(this::startLoad);
        }
    }

    private List<MissingModel> missingModels() {
        List<MissingModel> missing = new ArrayList<>();
        for (UpstreamRow engine : upstreams.engines()) {
            boolean canLoad = engine.load() != null && !engine.draining() && engine.reachable(context.now());
            boolean inBackoff = context.now() < nextOrderMillis.getOrDefault(engine.id(), 0L);
            if (!canLoad || inBackoff || isLoading(engine)) {
                continue;
            }
            engine.intent().serves().stream()
                    .map(ModelVersion::parse)
                    .filter(model -> !engine.load().models().contains(model))
                    .findFirst()
                    .ifPresent(model -> missing.add(new MissingModel(engine, model)));
        }
        return missing;
    }

    private boolean isLoading(UpstreamRow engine) {
        return loadsBySlot.values().stream().anyMatch(load -> load.engine == engine);
    }

    private void renewLease() {
        if (leaseRequestPending || context.stopping() || context.now() < nextLeaseRequestMillis) {
            return;
        }
        leaseRequestPending = true;
        nextLeaseRequestMillis = context.now() + LEASE_REQUEST_INTERVAL_MILLIS;
        long requestedAtMillis = context.now();
        String holder = context.selfId() + "/" + context.settings().incarnation();
        long duration = context.settings().orderLeaseMillis();
        store.call(new StoreRequest.AcquireLease(LEASE_NAME, holder, duration), result -> {
            leaseRequestPending = false;
            if (result instanceof StoreResult.LeaseGranted granted) {
                fencingToken = granted.fencingToken();
                leaseEndsMillis = requestedAtMillis + granted.remainingMillis();
            }
        });
    }

    private boolean leaseOutlastsOrder() {
        return context.now() + context.settings().orderValidityMillis() < leaseEndsMillis;
    }

    private void startLoad(MissingModel missingModel) {
        for (int slot = 0; slot < LOAD_SLOTS; slot++) {
            if (loadsBySlot.containsKey(slot)) {
                continue;
            }
            String order = context.selfId() + "-" + context.settings().incarnation() + "-o" + nextOrderNumber++;
            PendingLoad load = new PendingLoad(
                    order, missingModel.engine(), missingModel.model(), context.now() + SLOT_LEASE_MILLIS);
            loadsBySlot.put(slot, load);
            acquireSlot(slot, load);
            return;
        }
    }

    private void acquireSlot(int slot, PendingLoad load) {
        String name = LEASE_NAME + "/slot/" + slot;
        store.call(new StoreRequest.AcquireLease(name, load.order, SLOT_LEASE_MILLIS), result -> {
            if (loadsBySlot.get(slot) != load) {
                return;
            }
            boolean granted = result instanceof StoreResult.LeaseGranted;
            if (granted && leaseOutlastsOrder()) {
                issueOrder(load);
            } else {
                releaseSlot(slot, load);
            }
        });
    }

    private void issueOrder(PendingLoad load) {
        load.ordered = true;
        context.log("orders", "Load order issued to engine.", "engine", load.engine.id(), "model", load.model);
        context.count("orders.loads");
        context.emit(new Output.OrderLoad(
                load.order,
                load.engine.id(),
                load.engine.address(),
                load.model,
                fencingToken,
                context.settings().orderValidityMillis()));
    }

    private void releaseFinishedLoads() {
        Map<Integer, PendingLoad> current = Map.copyOf(loadsBySlot);
        current.forEach((slot, load) -> {
            boolean loaded =
                    load.engine.load() != null && load.engine.load().models().contains(load.model);
            if (loaded || context.now() >= load.slotEndsMillis) {
                releaseSlot(slot, load);
            }
        });
    }

    /**
     * Handles an engine's reply to an order.
     *
     * <p>The slot of an order with the reason "unknown" stays taken until the model is loaded or the slot expires,
     * because the engine may have accepted the order.
     *
     * @param order the order's id
     * @param accepted whether the engine accepted the order
     * @param reason why the order was not accepted
     */
    public void receiveOrderResult(String order, boolean accepted, String reason) {
        if (accepted) {
            return;
        }
        Map<Integer, PendingLoad> pendingLoads = Map.copyOf(loadsBySlot);
        pendingLoads.forEach((slot, load) -> {
            if (load.order.equals(order)) {
                context.log(
                        "orders",
                        "Load order not accepted by engine; retry delayed.",
                        "engine",
                        load.engine.id(),
                        "reason",
                        reason);
                nextOrderMillis.put(load.engine.id(), context.now() + ORDER_BACKOFF_MILLIS);
                if (reason.equals("unknown")) {
                    return;
                }
                releaseSlot(slot, load);
            }
        });
    }

    private void releaseSlot(int slot, PendingLoad load) {
        loadsBySlot.remove(slot);
        store.call(new StoreRequest.AcquireLease(LEASE_NAME + "/slot/" + slot, load.order, 0), result -> {});
    }
}
