package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.RoutingTable;

/** Dispatches inputs to the components of the forwarding core and runs each component once per tick. */
public final class DefaultForwardingCore implements ForwardingCore {

    /**
     * How long a router keeps serving after a stop request, in milliseconds: the load balancer notices after two
     * readiness checks, and until then callers keep using open connections.
     */
    private static final long SHUTDOWN_GRACE_MILLIS = 3_200;

    private final ForwardingContext context;
    private final StoreReplica storeReplica;
    private final StoreCallTable storeCalls;
    private final StoreWatcher storeWatcher;
    private final MemberRegistration memberRegistration;
    private final UpstreamTable upstreams;
    private final UpstreamReachability reachability;
    private final CrashProtection crashProtection;
    private final RequestLimits requestLimits;
    private final StreamVersions streamVersions;
    private final VersionShareSystem versionShares;
    private final CallSystem calls;
    private final OrderLease orderLease;
    private final WeightsRollout rollout;
    private final PeerGossip gossip;
    private final CacheEventReader cacheEventReader;
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
        storeWatcher = new StoreWatcher(context, storeCalls, storeReplica);
        memberRegistration = new MemberRegistration(context, storeCalls);
        EngineProbes probes = new EngineProbes(context);
        streamVersions = StreamVersions.create(context, storeCalls, storeReplica);
        upstreams = new UpstreamTable(
                context, storeCalls, probes, streamVersions.software(), new RequestedPauses(context, storeReplica));
        reachability = new UpstreamReachability(context, upstreams);
        crashProtection = new CrashProtection(context, storeCalls, storeReplica);
        RetryBudgets retryBudgets = new RetryBudgets(context, storeReplica);
        orderLease = new OrderLease(context, storeCalls, storeReplica);
        requestLimits = new RequestLimits(context, storeReplica);
        gossip = new PeerGossip(context, storeReplica, upstreams, crashProtection, requestLimits, streamVersions);
        versionShares =
                new VersionShareSystem(context, storeCalls, storeReplica, upstreams, streamVersions.shareCompletion());
        calls = new CallSystem(
                context,
                storeReplica,
                upstreams,
                retryBudgets,
                crashProtection,
                requestLimits,
                gossip,
                streamVersions,
                new StreamBindings(context, streamVersions, versionShares, gossip));
        streamVersions.shareCompletion().setOpenStreams(calls::openStreams);
        rollout = new WeightsRollout(context, storeReplica, upstreams, orderLease, probes, gossip::scheduleUpdate);
        gossip.setRollout(rollout);
        cacheEventReader = new CacheEventReader(context, storeReplica, upstreams, gossip);
        storeReplica.onChange(upstreams::itemChanged);
        upstreams.onIncarnationEnded(calls::upstreamEnded);
    }

    @Override
    public List<ForwardingOutput> tick(long nowMillis, List<ForwardingInput> inputs) {
        context.beginTick(nowMillis);
        inputs.forEach(this::handle);
        storeCalls.run();
        storeWatcher.run();
        memberRegistration.run();
        upstreams.run();
        reachability.run();
        crashProtection.run();
        requestLimits.run();
        streamVersions.lookup().run();
        versionShares.run();
        calls.run();
        orderLease.run();
        rollout.run();
        cacheEventReader.run();
        gossip.run();
        finishShutdown();
        return context.endTick();
    }

    private void handle(ForwardingInput input) {
        switch (input) {
            case ForwardingInput.CallReceived received -> calls.submit(received.request(), received.call());
            case ForwardingInput.CallerDisconnected disconnected -> calls.callerDisconnected(disconnected.request());
            case ForwardingInput.AttemptEventReceived received ->
                calls.receiveAttemptEvent(received.attempt(), received.event());
            case ForwardingInput.StoreAnswered answered -> storeCalls.answer(answered.call(), answered.reply());
            case ForwardingInput.OrderAnswered answered -> {
                if (answered.reply() instanceof OrderReply.NotConnected) {
                    upstreams.find(answered.engine()).ifPresent(engine -> calls.upstreamEnded(engine.incarnationId()));
                }
                rollout.receiveOrderReply(answered.engine(), answered.reply());
            }
            case ForwardingInput.CacheEventsReceived cacheEvents ->
                cacheEventReader.receive(cacheEvents.holder(), cacheEvents.reply());
            case ForwardingInput.StoreItemRelayed relayed -> storeReplica.apply(relayed.item());
            case ForwardingInput.PeerMessageReceived received -> gossip.receive(received.from(), received.message());
            case ForwardingInput.ClockJumped jumped -> {
                orderLease.clockJumped();
                if (jumped.millis() > 0) {
                    context.suspensions().clockStopped(jumped.millis());
                    storeReplica.targetHistory().clockStopped(jumped.millis());
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
