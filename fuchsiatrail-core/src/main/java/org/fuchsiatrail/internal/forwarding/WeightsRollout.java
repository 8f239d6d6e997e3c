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

/**
 * Brings engines to the weights that the operators named, a few at a time.
 *
 * <p>Load pattern: new weights every few seconds under traffic. Engines in a wave finish their runs and load; the
 * others serve meanwhile, and routers move their work to engines that have switched. Requests that cannot go on
 * elsewhere finish before the order; streams that can are reset by it and go on at another engine.
 */
final class WeightsRollout {

    /** The part of a model's engines that load at once; above about this part loads slow each other down. */
    private static final double WAVE_PART = 2.0 / 7;

    /** How long an engine may take for an order, in milliseconds, before it is asked and ordered anew. */
    private static final long ORDER_MILLIS = 6_000;

    /** Pause between looks at a wave, in milliseconds. */
    private static final long LOOK_MILLIS = 50;

    /** Time for all routers to hear that an engine switches and to tell what they have on it, in milliseconds. */
    private static final long SHORTEST_QUIESCE_MILLIS = 80;

    /** The longest wait for requests that cannot go on elsewhere, in milliseconds; several short generations. */
    private static final long LONGEST_QUIESCE_MILLIS = 1_200;

    /** How long an engine that does not answer is left alone, in milliseconds. */
    private static final long SILENT_MILLIS = 700;

    /** Answers in a row an engine may owe before it no longer counts in its wave. */
    private static final int MOST_SILENCES = 2;

    private final ForwardingContext context;
    private final StoreReplica known;
    private final UpstreamTable upstreams;
    private final OrderLease right;
    private final EngineProbes probes;
    private final Runnable announce;
    private final Map<UpstreamId, Switch> switches = new HashMap<>();
    private long nextLookAtMillis;

    /** An engine on its way to new weights. */
    private static final class Switch {
        final String model;
        final long version;
        final long startedAtMillis;
        boolean ordered;
        long acceptedOrders = -1;
        int silences;
        long leftAloneUntilMillis;

        Switch(String model, long version, long startedAtMillis) {
            this.model = model;
            this.version = version;
            this.startedAtMillis = startedAtMillis;
        }

        boolean silent() {
            return silences >= MOST_SILENCES;
        }
    }

    WeightsRollout(
            ForwardingContext context,
            StoreReplica known,
            UpstreamTable upstreams,
            OrderLease right,
            EngineProbes probes,
            Runnable announce) {
        this.context = context;
        this.known = known;
        this.upstreams = upstreams;
        this.right = right;
        this.probes = probes;
        this.announce = announce;
    }

    /** Engines that are about to take new weights, by this router's order. */
    List<UpstreamId> switching() {
        List<UpstreamId> engines = new ArrayList<>();
        switches.forEach((engine, state) -> {
            if (!state.silent()) {
                engines.add(engine);
            }
        });
        return engines;
    }

    void run() {
        if (context.now() < nextLookAtMillis) {
            return;
        }
        nextLookAtMillis = context.now() + LOOK_MILLIS;
        OptionalLong token = right.token();
        if (token.isEmpty()) {
            switches.clear();
            return;
        }
        forgetFinished();
        for (StoreItemContent.TargetWeights named : known.allNamed()) {
            startWave(named);
        }
        switches.forEach(this::look);
        context.wakeAt(nextLookAtMillis);
    }

    private void forgetFinished() {
        switches.entrySet().removeIf(entry -> {
            UpstreamState engine = upstreams.find(entry.getKey()).orElse(null);
            Switch state = entry.getValue();
            boolean gone = engine == null || engine.entry.draining() || context.now() >= engine.removalAtMillis;
            boolean done = !gone && engine.weightVersions.getOrDefault(state.model, 0L) >= state.version;
            if (done) {
                context.log(
                        "weights",
                        "Engine has new weights.",
                        "upstream",
                        entry.getKey(),
                        "version",
                        state.version,
                        "millis",
                        context.now() - state.startedAtMillis);
            }
            return gone || done || context.now() - state.startedAtMillis > ORDER_MILLIS;
        });
    }

    private void startWave(StoreItemContent.TargetWeights named) {
        List<UpstreamState> behind = new ArrayList<>();
        int engines = 0;
        for (UpstreamState engine : upstreams.all()) {
            boolean serves = engine.weightVersions.containsKey(named.model())
                    && !engine.entry.draining()
                    && context.now() < engine.removalAtMillis;
            boolean suspect = engine.suspect(context.now());
            if (serves) {
                engines += suspect ? 0 : 1;
                if (engine.weightVersions.get(named.model()) < named.version() && !switches.containsKey(engine.id())) {
                    behind.add(engine);
                }
            }
        }
        long active =
                switches.values().stream().filter(state -> !state.silent()).count();
        long free = Math.max(1, Math.round(engines * WAVE_PART)) - active;
        behind.sort((one, other) -> Integer.compare(one.running(context.now()), other.running(context.now())));
        for (UpstreamState engine : behind) {
            if (free-- <= 0) {
                return;
            }
            switches.put(engine.id(), new Switch(named.model(), named.version(), context.now()));
            engine.switchingUntilMillis = context.now() + ORDER_MILLIS;
            announce.run();
        }
    }

    private void look(UpstreamId id, Switch state) {
        UpstreamState engine = upstreams.find(id).orElse(null);
        if (engine == null || context.now() < state.leftAloneUntilMillis) {
            return;
        }
        if (state.ordered || state.acceptedOrders < 0) {
            probes.send(engine);
            return;
        }
        long quiet = context.now() - state.startedAtMillis;
        boolean finished = quiet >= SHORTEST_QUIESCE_MILLIS && engine.nonResumableRequests(context.now()) == 0;
        if (finished || quiet >= LONGEST_QUIESCE_MILLIS) {
            order(engine, state, state.acceptedOrders);
        }
    }

    /** Takes an engine's answer to an order or to a question for its state. */
    void receive(UpstreamId id, OrderReply reply) {
        UpstreamState engine = upstreams.find(id).orElse(null);
        if (engine == null) {
            return;
        }
        if (reply instanceof OrderReply.State told) {
            upstreams.probeAnswered(engine);
            boolean news = false;
            for (Map.Entry<String, Long> each : told.weights().entrySet()) {
                news |= engine.recordWeightVersion(each.getKey(), each.getValue());
            }
            if (news) {
                announce.run();
            }
        }
        Switch state = switches.get(id);
        if (state != null) {
            advance(engine, state, reply);
        }
    }

    private void advance(UpstreamState engine, Switch state, OrderReply reply) {
        nextLookAtMillis = context.now();
        switch (reply) {
            case OrderReply.State told -> {
                state.silences = 0;
                state.acceptedOrders = told.busy() ? -1 : told.orders();
            }
            case OrderReply.Accepted accepted -> noteOrder(engine, state, "accepted");
            case OrderReply.AlreadyApplied holds -> engine.recordWeightVersion(state.model, state.version);
            case OrderReply.Busy busy -> {
                state.ordered = false;
                state.acceptedOrders = -1;
                noteOrder(engine, state, "busy");
            }
            case OrderReply.Failed failed -> {
                state.ordered = false;
                state.acceptedOrders = -1;
                state.silences++;
                if (state.silent()) {
                    engine.switchingUntilMillis = Long.MIN_VALUE;
                }
                state.leftAloneUntilMillis = context.now() + SILENT_MILLIS;
                context.wakeAt(state.leftAloneUntilMillis);
                noteOrder(engine, state, failed.reason());
            }
        }
    }

    private void noteOrder(UpstreamState engine, Switch state, String outcome) {
        context.log(
                "weights", "Order answered.", "upstream", engine.id(), "version", state.version, "outcome", outcome);
    }

    private void order(UpstreamState engine, Switch state, long acceptedOrders) {
        OptionalLong token = right.token();
        if (token.isEmpty()) {
            return;
        }
        state.ordered = true;
        context.count("orders.sent");
        context.log(
                "weights",
                "Engine ordered.",
                "upstream",
                engine.id(),
                "model",
                state.model,
                "version",
                state.version,
                "fencingToken",
                token.getAsLong(),
                "expectedOrders",
                acceptedOrders,
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
                acceptedOrders));
    }
}
