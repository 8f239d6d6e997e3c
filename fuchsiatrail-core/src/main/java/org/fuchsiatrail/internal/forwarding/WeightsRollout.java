package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.SwitchMode;

/**
 * Orders engines to load the target weights, a few engines at a time.
 *
 * <p>Load pattern: new target weights every few seconds under traffic. The engines of a wave finish their requests and
 * load the weights while the others serve, and routers place requests on engines that have switched.
 */
final class WeightsRollout {

    /** The fraction of a model's engines that load weights at once; above it, concurrent loads slow each other down. */
    private static final double WAVE_FRACTION = 2.0 / 7;

    /** How long an engine may take to carry out an order, in milliseconds, before it is queried and ordered again. */
    private static final long ORDER_TIMEOUT_MILLIS = 6_000;

    /** Interval between polls of the engines in a wave, in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 50;

    /** Backoff after a failed query or order, in milliseconds. */
    private static final long UNRESPONSIVE_BACKOFF_MILLIS = 700;

    /** Consecutive failed queries or orders after which an engine no longer counts towards its wave. */
    private static final int MAXIMUM_CONSECUTIVE_FAILURES = 2;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final UpstreamTable upstreams;
    private final OrderLease orderLease;
    private final EngineProbes probes;
    private final Runnable updateScheduler;
    private final Map<UpstreamId, WeightSwitch> switches = new HashMap<>();
    private long nextPollAtMillis;

    /** The progress of one engine towards its target weights. */
    private static final class WeightSwitch {
        final String model;
        final long version;
        final long startedAtMillis;
        boolean ordered;
        /** The number of orders that the engine has accepted in its incarnation, or -1 while it must be queried. */
        long acceptedOrders = -1;

        int consecutiveFailures;
        long backoffUntilMillis;

        WeightSwitch(String model, long version, long startedAtMillis) {
            this.model = model;
            this.version = version;
            this.startedAtMillis = startedAtMillis;
        }

        boolean isUnresponsive() {
            return consecutiveFailures >= MAXIMUM_CONSECUTIVE_FAILURES;
        }
    }

    WeightsRollout(
            ForwardingContext context,
            StoreReplica replica,
            UpstreamTable upstreams,
            OrderLease orderLease,
            EngineProbes probes,
            Runnable updateScheduler) {
        this.context = context;
        this.replica = replica;
        this.upstreams = upstreams;
        this.orderLease = orderLease;
        this.probes = probes;
        this.updateScheduler = updateScheduler;
    }

    /** Engines that this router is about to order, or has ordered, to load their target weights. */
    List<UpstreamId> switchingEngines() {
        List<UpstreamId> engines = new ArrayList<>();
        switches.forEach((engine, state) -> {
            if (!state.isUnresponsive()) {
                engines.add(engine);
            }
        });
        return engines;
    }

    void run() {
        if (context.now() < nextPollAtMillis) {
            return;
        }
        nextPollAtMillis = context.now() + POLL_INTERVAL_MILLIS;
        OptionalLong token = orderLease.activeFencingToken();
        if (token.isEmpty()) {
            switches.clear();
            return;
        }
        removeFinished();
        for (StoreItemContent.TargetWeights target : replica.allTargetWeights()) {
            startWave(target);
        }
        switches.forEach(this::poll);
        context.wakeAt(nextPollAtMillis);
    }

    private void removeFinished() {
        switches.entrySet().removeIf(entry -> {
            UpstreamState engine = upstreams.find(entry.getKey()).orElse(null);
            WeightSwitch state = entry.getValue();
            boolean gone = engine == null || !upstreams.isActive(engine);
            boolean done = !gone && engine.weightVersions.getOrDefault(state.model, 0L) >= state.version;
            if (done) {
                context.log(
                        "weights",
                        "Engine switched to the target weights.",
                        "upstream",
                        entry.getKey(),
                        "version",
                        state.version,
                        "millis",
                        context.now() - state.startedAtMillis);
            }
            return gone || done || context.now() - state.startedAtMillis > ORDER_TIMEOUT_MILLIS;
        });
    }

    private void startWave(StoreItemContent.TargetWeights target) {
        List<UpstreamState> outdated = new ArrayList<>();
        int engineCount = 0;
        for (UpstreamState engine : upstreams.all()) {
            boolean serves = engine.weightVersions.containsKey(target.model()) && upstreams.isActive(engine);
            boolean suspect = engine.isSuspected(context.now());
            if (serves) {
                engineCount += suspect ? 0 : 1;
                if (engine.weightVersions.get(target.model()) < target.version()
                        && !switches.containsKey(engine.id())) {
                    outdated.add(engine);
                }
            }
        }
        long active = switches.values().stream()
                .filter(state -> !state.isUnresponsive())
                .count();
        long freeSlots = Math.max(1, Math.round(engineCount * WAVE_FRACTION)) - active;
        outdated.sort((first, second) -> Integer.compare(first.running(context.now()), second.running(context.now())));
        for (UpstreamState engine : outdated) {
            if (freeSlots-- <= 0) {
                return;
            }
            switches.put(engine.id(), new WeightSwitch(target.model(), target.version(), context.now()));
            engine.switchingUntilMillis = context.now() + ORDER_TIMEOUT_MILLIS;
            updateScheduler.run();
        }
    }

    private void poll(UpstreamId id, WeightSwitch state) {
        UpstreamState engine = upstreams.find(id).orElse(null);
        if (engine == null || context.now() < state.backoffUntilMillis) {
            return;
        }
        if (state.ordered || state.acceptedOrders < 0) {
            probes.send(engine);
            return;
        }
        long quiesceMillis = context.now() - state.startedAtMillis;
        if (WeightSwitchDecision.decide(quiesceMillis, engine.nonResumableRequests(context.now()))
                instanceof WeightSwitchDecision.Order order) {
            issueOrder(engine, state, order.mode());
        }
    }

    /** Processes an engine's reply to an order or to a state query. */
    void receiveOrderReply(UpstreamId id, OrderReply reply) {
        UpstreamState engine = upstreams.find(id).orElse(null);
        if (engine == null) {
            return;
        }
        if (reply instanceof OrderReply.State reported) {
            upstreams.probeAnswered(engine);
            boolean changed = false;
            for (Map.Entry<String, Long> versionByModel : reported.weights().entrySet()) {
                changed |= engine.recordWeightVersion(versionByModel.getKey(), versionByModel.getValue());
            }
            if (changed) {
                updateScheduler.run();
            }
        }
        WeightSwitch state = switches.get(id);
        if (state != null) {
            advance(engine, state, reply);
        }
    }

    private void advance(UpstreamState engine, WeightSwitch state, OrderReply reply) {
        nextPollAtMillis = context.now();
        switch (reply) {
            case OrderReply.State reported -> {
                state.consecutiveFailures = 0;
                state.acceptedOrders = reported.busy() ? -1 : reported.orders();
            }
            case OrderReply.Accepted accepted -> logOrderReply(engine, state, "accepted");
            case OrderReply.AlreadyApplied applied -> engine.recordWeightVersion(state.model, state.version);
            case OrderReply.Busy busy -> {
                state.ordered = false;
                state.acceptedOrders = -1;
                logOrderReply(engine, state, "busy");
            }
            case OrderReply.Failed failed -> handleFailure(engine, state, failed.reason());
            case OrderReply.NotConnected notConnected -> handleFailure(engine, state, notConnected.reason());
        }
    }

    private void handleFailure(UpstreamState engine, WeightSwitch state, String reason) {
        state.ordered = false;
        state.acceptedOrders = -1;
        state.consecutiveFailures++;
        if (state.isUnresponsive()) {
            engine.switchingUntilMillis = Long.MIN_VALUE;
        }
        state.backoffUntilMillis = context.now() + UNRESPONSIVE_BACKOFF_MILLIS;
        context.wakeAt(state.backoffUntilMillis);
        logOrderReply(engine, state, reason);
    }

    private void logOrderReply(UpstreamState engine, WeightSwitch state, String outcome) {
        context.log(
                "weights",
                "Engine replied to an order, or a call to the engine failed.",
                "upstream",
                engine.id(),
                "version",
                state.version,
                "outcome",
                outcome);
    }

    private void issueOrder(UpstreamState engine, WeightSwitch state, SwitchMode switchMode) {
        OptionalLong token = orderLease.activeFencingToken();
        if (token.isEmpty()) {
            return;
        }
        state.ordered = true;
        context.count("orders.sent");
        context.log(
                "weights",
                "Order to load the target weights sent.",
                "upstream",
                engine.id(),
                "model",
                state.model,
                "version",
                state.version,
                "fencingToken",
                token.getAsLong(),
                "expectedOrders",
                state.acceptedOrders,
                "switchMode",
                switchMode,
                "bound",
                engine.nonResumableRequests(context.now()),
                "running",
                engine.running(context.now()));
        context.emit(new ForwardingOutput.OrderWeights(
                engine.id(),
                engine.entry.address(),
                state.model,
                state.version,
                context.settings().self().id().value(),
                token.getAsLong(),
                state.acceptedOrders,
                switchMode));
    }
}
