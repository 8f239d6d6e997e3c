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
 * Orders engines to load the models that the configuration gives them.
 *
 * <p>Only the holder of a platform lease gives orders, with the lease's fencing token. An order is given only when more
 * of the lease is left than the order can live, so that a successor, which gets the lease no earlier than it ends,
 * never overlaps an order to an engine that does not check tokens. Each load also holds one of two slots in the store.
 */
public final class OrderSystem {

    private static final String LEASE = "fuchsiatrail/orders";
    private static final int SLOTS = 2;

    /** The time between two attempts to get the lease, in milliseconds. */
    private static final long LEASE_RETRY_MILLIS = 3_000;

    /** The longest time that a load holds its slot, in milliseconds. */
    private static final long SLOT_MILLIS = 60_000;

    /** The wait before a refused or lost order is given again, in milliseconds. */
    private static final long ORDER_BACKOFF_MILLIS = 2_000;

    /** The time between two looks at what is missing, in milliseconds. */
    private static final long REVIEW_MILLIS = 200;

    private final RouterContext context;
    private final StoreCalls store;
    private final UpstreamSystem upstreams;
    private final Map<Integer, Load> slots = new HashMap<>();
    private final Map<UpstreamId, Long> notBefore = new HashMap<>();
    private long fencingToken;
    private long leaseEndsMillis;
    private long nextLeaseMillis;
    private long nextReviewMillis;
    private boolean asking;
    private long nextOrder = 1;

    /**
     * Creates a system that holds no lease.
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

    private static final class Load {
        private final String order;
        private final UpstreamRow engine;
        private final ModelVersion model;
        private final long endsMillis;
        private boolean ordered;

        private Load(String order, UpstreamRow engine, ModelVersion model, long endsMillis) {
            this.order = order;
            this.engine = engine;
            this.model = model;
            this.endsMillis = endsMillis;
        }
    }

    private record Missing(UpstreamRow engine, ModelVersion model) {}

    /** Renews the lease while engines miss models, and gives orders while slots are free. */
    public void run() {
        if (context.now() < nextReviewMillis) {
            return;
        }
        nextReviewMillis = context.now() + REVIEW_MILLIS;
        endLoads();
        List<Missing> missing = missing();
        if (missing.isEmpty() && slots.isEmpty()) {
            return;
        }
        keepLease();
        if (leaseCoversAnOrder()) {
            missing.forEach(this::takeSlot);
        }
    }

    private List<Missing> missing() {
        List<Missing> missing = new ArrayList<>();
        for (UpstreamRow engine : upstreams.engines()) {
            boolean orderable = engine.load() != null && !engine.draining() && engine.reachable(context.now());
            boolean pausing = context.now() < notBefore.getOrDefault(engine.id(), 0L);
            if (!orderable || pausing || isLoading(engine)) {
                continue;
            }
            engine.intent().serves().stream()
                    .map(ModelVersion::parse)
                    .filter(model -> !engine.load().models().contains(model))
                    .findFirst()
                    .ifPresent(model -> missing.add(new Missing(engine, model)));
        }
        return missing;
    }

    private boolean isLoading(UpstreamRow engine) {
        return slots.values().stream().anyMatch(load -> load.engine == engine);
    }

    private void keepLease() {
        if (asking || context.stopping() || context.now() < nextLeaseMillis) {
            return;
        }
        asking = true;
        nextLeaseMillis = context.now() + LEASE_RETRY_MILLIS;
        long asked = context.now();
        String holder = context.selfId() + "/" + context.settings().incarnation();
        long duration = context.settings().orderLeaseMillis();
        store.call(new StoreRequest.AcquireLease(LEASE, holder, duration), result -> {
            asking = false;
            if (result instanceof StoreResult.LeaseGranted granted) {
                fencingToken = granted.fencingToken();
                leaseEndsMillis = asked + granted.remainingMillis();
            }
        });
    }

    private boolean leaseCoversAnOrder() {
        return context.now() + context.settings().orderValidityMillis() < leaseEndsMillis;
    }

    private void takeSlot(Missing missing) {
        for (int number = 0; number < SLOTS; number++) {
            if (slots.containsKey(number)) {
                continue;
            }
            String order = context.selfId() + "-" + context.settings().incarnation() + "-o" + nextOrder++;
            Load load = new Load(order, missing.engine(), missing.model(), context.now() + SLOT_MILLIS);
            slots.put(number, load);
            askSlot(number, load);
            return;
        }
    }

    private void askSlot(int number, Load load) {
        String name = LEASE + "/slot/" + number;
        store.call(new StoreRequest.AcquireLease(name, load.order, SLOT_MILLIS), result -> {
            if (slots.get(number) != load) {
                return;
            }
            boolean granted = result instanceof StoreResult.LeaseGranted;
            if (granted && leaseCoversAnOrder()) {
                give(load);
            } else {
                release(number, load);
            }
        });
    }

    private void give(Load load) {
        load.ordered = true;
        context.log("orders", "Load ordered.", "engine", load.engine.id(), "model", load.model);
        context.count("orders.loads");
        context.emit(new Output.OrderLoad(
                load.order,
                load.engine.id(),
                load.engine.address(),
                load.model,
                fencingToken,
                context.settings().orderValidityMillis()));
    }

    private void endLoads() {
        Map<Integer, Load> current = Map.copyOf(slots);
        current.forEach((number, load) -> {
            boolean loaded =
                    load.engine.load() != null && load.engine.load().models().contains(load.model);
            if (loaded || context.now() >= load.endsMillis) {
                release(number, load);
            }
        });
    }

    /**
     * Takes an engine's answer to an order.
     *
     * @param order the order
     * @param accepted whether it took effect
     * @param reason why not
     */
    public void receiveOrderResult(String order, boolean accepted, String reason) {
        if (accepted) {
            return;
        }
        Map<Integer, Load> current = Map.copyOf(slots);
        current.forEach((number, load) -> {
            if (load.order.equals(order)) {
                context.log("orders", "Load refused.", "engine", load.engine.id(), "reason", reason);
                notBefore.put(load.engine.id(), context.now() + ORDER_BACKOFF_MILLIS);
                if (reason.equals("unknown")) {
                    return;
                }
                release(number, load);
            }
        });
    }

    private void release(int number, Load load) {
        slots.remove(number);
        store.call(new StoreRequest.AcquireLease(LEASE + "/slot/" + number, load.order, 0), result -> {});
    }
}
