package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.internal.limits.CustomerLimits;

/** Dispatches inputs to the components of the forwarding core and runs each component once per tick. */
public final class DefaultForwardingCore implements ForwardingCore {

    /**
     * How long a router keeps serving after a stop request, in milliseconds: the load balancer notices after two
     * readiness checks, and until then callers keep using open connections.
     */
    private static final long SHUTDOWN_GRACE_MILLIS = 3_200;

    /** The most requests at which a system may fail in one tick; the others are processed in the next one. */
    private static final int MAXIMUM_FAILURES_PER_TICK = 100;

    /** A part of the core that runs once per tick. */
    private record CoreSystem(String name, Runnable action) {}

    private final ForwardingContext context;
    private final StoreReplica storeReplica;
    private final StoreCallTable storeCalls;
    private final StoreWatcher storeWatcher;
    private final MemberRegistration memberRegistration;
    private final EngineProbes probes;
    private final UpstreamTable upstreams;
    private final UpstreamReachability reachability;
    private final CrashProtection crashProtection;
    private final RequestLimits requestLimits;
    private final CustomerLimits customerLimits;
    private final StreamVersions streamVersions;
    private final VersionShareSystem versionShares;
    private final CallSystem calls;
    private final DarkSights darkSights;
    private final OrderLease orderLease;
    private final WeightsRollout rollout;
    private final PeerGossip gossip;
    private final CacheEventReader cacheEventReader;
    private final List<CoreSystem> systems;
    private long shutdownGraceUntilMillis = Long.MAX_VALUE;
    private boolean stopped;

    /**
     * Creates a core without any state.
     *
     * @param settings the settings of the core
     */
    public DefaultForwardingCore(ForwardingSettings settings) {
        context = new ForwardingContext(settings);
        storeReplica = new StoreReplica(context);
        storeCalls = new StoreCallTable(context);
        storeCalls.era().onChange(storeReplica::beginEra);
        storeWatcher = new StoreWatcher(context, storeCalls, storeReplica);
        memberRegistration = new MemberRegistration(context, storeCalls);
        probes = new EngineProbes(context);
        streamVersions = StreamVersions.create(context, storeCalls, storeReplica);
        upstreams = new UpstreamTable(
                context, storeCalls, probes, streamVersions.software(), new RequestedPauses(context, storeReplica));
        reachability = new UpstreamReachability(context, upstreams);
        crashProtection = new CrashProtection(context, storeCalls, storeReplica);
        RetryBudgets retryBudgets = new RetryBudgets(context, storeReplica);
        orderLease = new OrderLease(context, storeCalls, storeReplica);
        requestLimits = new RequestLimits(context, storeReplica);
        customerLimits = new CustomerLimits(settings.self(), settings.limitTolerance(), context.random()::nextDouble);
        gossip = new PeerGossip(
                context,
                storeReplica,
                storeCalls.era(),
                upstreams,
                crashProtection,
                requestLimits,
                streamVersions,
                customerLimits);
        versionShares =
                new VersionShareSystem(context, storeCalls, storeReplica, upstreams, streamVersions.shareCompletion());
        darkSights = new DarkSights(context, storeReplica, upstreams);
        calls = new CallSystem(
                context,
                storeReplica,
                upstreams,
                retryBudgets,
                crashProtection,
                requestLimits,
                customerLimits,
                gossip,
                streamVersions,
                new StreamBindings(context, streamVersions, versionShares, gossip),
                darkSights);
        streamVersions.shareCompletion().setOpenStreams(calls::openStreams);
        rollout = new WeightsRollout(context, storeReplica, upstreams, orderLease, probes, gossip::scheduleUpdate);
        gossip.setRollout(rollout);
        cacheEventReader = new CacheEventReader(context, storeReplica, upstreams, gossip);
        storeReplica.onChange(upstreams::itemChanged);
        upstreams.onIncarnationEnded(incarnation -> {
            crashProtection.recordEndInStore(incarnation);
            calls.upstreamEnded(incarnation);
        });
        systems = systemsInOrder();
    }

    private List<CoreSystem> systemsInOrder() {
        return List.of(
                new CoreSystem("store calls", storeCalls::run),
                new CoreSystem("store watch", storeWatcher::run),
                new CoreSystem("members", memberRegistration::run),
                new CoreSystem("upstreams", upstreams::run),
                new CoreSystem("reachability", reachability::run),
                new CoreSystem("crash protection", crashProtection::run),
                new CoreSystem("request limits", requestLimits::run),
                new CoreSystem("customer limits", this::prepareCustomerLimits),
                new CoreSystem("origins of streams", streamVersions.lookup()::run),
                new CoreSystem("version shares", versionShares::run),
                new CoreSystem("dark upstreams", darkSights::run),
                new CoreSystem("calls", calls::run),
                new CoreSystem("order lease", orderLease::run),
                new CoreSystem("weights", rollout::run),
                new CoreSystem("cache events", cacheEventReader::run),
                new CoreSystem("gossip", gossip::run),
                new CoreSystem("shutdown", this::finishShutdown));
    }

    @Override
    public List<ForwardingOutput> tick(long nowMillis, List<ForwardingInput> inputs) {
        context.beginTick(nowMillis);
        inputs.forEach(input -> context.handleGuarded(input, this::handle));
        systems.forEach(this::run);
        return context.endTick();
    }

    /** Runs a system; once more for each request that it failed at, since that one is no longer due. */
    private void run(CoreSystem system) {
        Optional<RequestId> failed = context.runGuarded(system.name(), system.action());
        for (int failures = 1; failed.isPresent() && failures < MAXIMUM_FAILURES_PER_TICK; failures++) {
            failed = context.runGuarded(system.name(), system.action());
        }
    }

    private void prepareCustomerLimits() {
        customerLimits.run(
                storeReplica.routing().map(RoutingTable::limitsCustomers).orElse(false),
                storeReplica.memberCount(),
                gossip.parent(),
                context.now());
    }

    private void handle(ForwardingInput input) {
        switch (input) {
            case ForwardingInput.CallReceived received -> calls.submit(received.request(), received.call());
            case ForwardingInput.CallerDisconnected disconnected -> calls.callerDisconnected(disconnected.request());
            case ForwardingInput.AttemptEventReceived received ->
                calls.receiveAttemptEvent(received.attempt(), received.event());
            case ForwardingInput.StoreAnswered answered ->
                storeCalls.answer(answered.call(), answered.reply(), answered.era());
            case ForwardingInput.OrderAnswered answered -> {
                upstreams.find(answered.engine()).ifPresent(engine -> recordConnection(engine, answered.reply()));
                rollout.receiveOrderReply(answered.engine(), answered.reply());
            }
            case ForwardingInput.CacheEventsReceived cacheEvents ->
                cacheEventReader.receive(cacheEvents.holder(), cacheEvents.reply());
            case ForwardingInput.StoreItemRelayed relayed -> {
                storeCalls.era().observeFromPeer(relayed.era());
                if (storeCalls.era().isCurrent(relayed.era())) {
                    storeReplica.apply(relayed.item());
                }
            }
            case ForwardingInput.PeerMessageReceived received -> gossip.receive(received.from(), received.message());
            case ForwardingInput.ClockJumped jumped -> {
                orderLease.clockJumped();
                if (jumped.millis() > 0) {
                    context.suspensions().clockStopped(jumped.millis());
                    storeReplica.targetHistory().clockStopped(jumped.millis());
                    storeReplica.contact().clockStopped(jumped.millis());
                }
                context.log(
                        "router",
                        "Clock jump or process suspension detected; checking the order lease.",
                        "millis",
                        jumped.millis());
            }
            case ForwardingInput.StopRequested requested -> beginShutdown();
        }
    }

    private void recordConnection(UpstreamState engine, OrderReply reply) {
        long sentAtMillis = probes.lastSentAtMillis(engine);
        if (reply instanceof OrderReply.NotConnected notConnected) {
            crashProtection.recordNotConnected(engine, notConnected, sentAtMillis);
            calls.upstreamEnded(engine.incarnationId());
            if (!notConnected.refused()) {
                darkSights.connectionTimedOut(engine);
                return;
            }
        } else if (!(reply instanceof OrderReply.Failed)) {
            crashProtection.recordReached(engine, sentAtMillis);
        }
        darkSights.probeEnded(engine);
    }

    private void beginShutdown() {
        if (!context.stopping()) {
            context.stop();
            shutdownGraceUntilMillis = context.now() + SHUTDOWN_GRACE_MILLIS;
            context.wakeAt(shutdownGraceUntilMillis);
            context.log("router", "Graceful shutdown started.", "openRequests", calls.openRequests());
        }
    }

    private void finishShutdown() {
        boolean withinGrace = context.now() < shutdownGraceUntilMillis;
        if (context.stopping() && !stopped && !withinGrace && calls.openRequests() == 0 && orderLease.isIdle()) {
            stopped = true;
            context.emit(new ForwardingOutput.Stopped());
        }
    }

    @Override
    public long nextDueMillis() {
        return context.nextWakeUp();
    }

    @Override
    public boolean ready() {
        return storeReplica.routing().isPresent() && !context.stopping();
    }

    @Override
    public Optional<RoutingTable> routing() {
        return storeReplica.routing();
    }

    @Override
    public boolean stopping() {
        return context.stopping();
    }
}
