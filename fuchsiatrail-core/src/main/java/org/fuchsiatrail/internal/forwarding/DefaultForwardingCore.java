package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;

/** Hands inputs to the forwarding systems and runs each of them once a tick. */
public final class DefaultForwardingCore implements ForwardingCore {

    /**
     * How long a router serves on after a stop was asked, in milliseconds: the balancer notices after two questions,
     * and callers use open connections meanwhile.
     */
    private static final long STOP_LINGER_MILLIS = 3_200;

    private final ForwardingContext context;
    private final StoreReplica known;
    private final StoreCallTable store;
    private final StoreWatcher follower;
    private final MemberRegistration announcement;
    private final UpstreamTable upstreams;
    private final CrashTracker crashes;
    private final CallSystem calls;
    private final OrderLease right;
    private final WeightsRollout rollout;
    private final PeerGossip peers;
    private final CacheEventReader caches;
    private long lingerUntilMillis = Long.MAX_VALUE;
    private boolean stopped;

    /**
     * Creates a core that has seen nothing yet.
     *
     * @param settings its settings
     */
    public DefaultForwardingCore(ForwardingSettings settings) {
        context = new ForwardingContext(settings);
        known = new StoreReplica(context);
        store = new StoreCallTable(context);
        follower = new StoreWatcher(context, store, known);
        announcement = new MemberRegistration(context, store);
        EngineProbes probes = new EngineProbes(context);
        upstreams = new UpstreamTable(context, store, probes);
        crashes = new CrashTracker(context);
        RetryBudgets budgets = new RetryBudgets(context, known);
        right = new OrderLease(context, store, known);
        peers = new PeerGossip(context, known, upstreams, crashes);
        calls = new CallSystem(context, known, upstreams, budgets, probes, crashes, peers);
        rollout = new WeightsRollout(context, known, upstreams, right, probes, peers::scheduleUpdate);
        peers.setRollout(rollout);
        caches = new CacheEventReader(context, known, upstreams, peers);
        known.onChange(this::itemChanged);
    }

    private void itemChanged(StoreItemContent before, StoreItem item) {
        if (before instanceof StoreItemContent.Upstream old
                && item.content() instanceof StoreItemContent.Upstream now
                && old.entry().startedAtMillis() != now.entry().startedAtMillis()) {
            upstreams.find(old.entry().id()).ifPresent(row -> crashes.unreachable(row.incarnationId()));
        }
        upstreams.itemChanged(before, item);
    }

    @Override
    public List<ForwardingOutput> tick(long nowMillis, List<ForwardingInput> inputs) {
        context.begin(nowMillis);
        inputs.forEach(this::take);
        store.run();
        follower.run();
        announcement.run();
        upstreams.run();
        crashes.run();
        calls.run();
        right.run();
        rollout.run();
        caches.run();
        peers.run();
        finishStop();
        return context.finish();
    }

    private void take(ForwardingInput input) {
        switch (input) {
            case ForwardingInput.CallReceived arrived -> calls.arrive(arrived.request(), arrived.call());
            case ForwardingInput.CallerDisconnected left -> calls.callerLeft(left.request());
            case ForwardingInput.AttemptEventReceived spoke -> calls.receive(spoke.attempt(), spoke.event());
            case ForwardingInput.StoreAnswered answered -> store.answer(answered.call(), answered.reply());
            case ForwardingInput.OrderAnswered answered -> rollout.receive(answered.engine(), answered.reply());
            case ForwardingInput.CacheEventsReceived read -> caches.receive(read.holder(), read.reply());
            case ForwardingInput.StoreItemRelayed relayed -> known.apply(relayed.item());
            case ForwardingInput.PeerMessageReceived spoke -> peers.receive(spoke.from(), spoke.message());
            case ForwardingInput.ClockJumped jumped -> {
                right.timeJumped();
                context.log("router", "Time jumped.");
            }
            case ForwardingInput.StopRequested asked -> beginStop();
        }
    }

    private void beginStop() {
        if (!context.stopping()) {
            context.stop();
            lingerUntilMillis = context.now() + STOP_LINGER_MILLIS;
            context.wakeAt(lingerUntilMillis);
            context.log("router", "Stopping.", "openRequests", calls.open());
        }
    }

    private void finishStop() {
        boolean lingers = context.now() < lingerUntilMillis;
        if (context.stopping() && !stopped && !lingers && calls.open() == 0 && right.idle()) {
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
        return known.routing().isPresent() && !context.stopping();
    }

    @Override
    public Optional<RoutingTable> routing() {
        return known.routing();
    }

    @Override
    public boolean stopping() {
        return context.stopping();
    }
}
