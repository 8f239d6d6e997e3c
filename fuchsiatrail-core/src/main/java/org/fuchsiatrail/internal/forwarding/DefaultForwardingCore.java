package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.StoreFact;
import org.fuchsiatrail.forwarding.StoreItem;

/** Hands inputs to the forwarding systems and runs each of them once a tick. */
public final class DefaultForwardingCore implements ForwardingCore {

    /**
     * How long a router serves on after a stop was asked, in milliseconds: the balancer notices after two questions,
     * and callers use open connections meanwhile.
     */
    private static final long STOP_LINGER_MILLIS = 3_200;

    private final ForwardingContext context;
    private final KnownItems known;
    private final StoreCallTable store;
    private final StoreFollower follower;
    private final MemberAnnouncement announcement;
    private final ForwardedUpstreams upstreams;
    private final CrashRegister crashes;
    private final CallSystem calls;
    private final OrderRight right;
    private final WeightsRollout rollout;
    private final PeerNews peers;
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
        known = new KnownItems(context);
        store = new StoreCallTable(context);
        follower = new StoreFollower(context, store, known);
        announcement = new MemberAnnouncement(context, store);
        EngineProbes probes = new EngineProbes(context);
        upstreams = new ForwardedUpstreams(context, store, probes);
        crashes = new CrashRegister(context);
        RetryBudgets budgets = new RetryBudgets(context, known);
        right = new OrderRight(context, store, known);
        peers = new PeerNews(context, known, upstreams, crashes);
        calls = new CallSystem(context, known, upstreams, budgets, probes, crashes, peers);
        rollout = new WeightsRollout(context, known, upstreams, right, probes, peers::announceSoon);
        peers.use(rollout);
        caches = new CacheEventReader(context, known, upstreams, peers);
        known.onChange(this::itemChanged);
    }

    private void itemChanged(StoreFact before, StoreItem item) {
        if (before instanceof StoreFact.Upstream old
                && item.fact() instanceof StoreFact.Upstream now
                && old.entry().bornMillis() != now.entry().bornMillis()) {
            upstreams.find(old.entry().id()).ifPresent(row -> crashes.unreachable(row.life()));
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
            case ForwardingInput.CallArrived arrived -> calls.arrive(arrived.request(), arrived.call());
            case ForwardingInput.CallerLeft left -> calls.callerLeft(left.request());
            case ForwardingInput.AttemptSpoke spoke -> calls.receive(spoke.attempt(), spoke.event());
            case ForwardingInput.StoreAnswered answered -> store.answer(answered.call(), answered.reply());
            case ForwardingInput.OrderAnswered answered -> rollout.receive(answered.engine(), answered.reply());
            case ForwardingInput.CacheEventsRead read -> caches.receive(read.holder(), read.reply());
            case ForwardingInput.ItemRelayed relayed -> known.apply(relayed.item());
            case ForwardingInput.PeerSpoke spoke -> peers.receive(spoke.from(), spoke.message());
            case ForwardingInput.TimeJumped jumped -> {
                right.timeJumped();
                context.note("router", "Time jumped.");
            }
            case ForwardingInput.StopAsked asked -> beginStop();
        }
    }

    private void beginStop() {
        if (!context.stopping()) {
            context.stop();
            lingerUntilMillis = context.now() + STOP_LINGER_MILLIS;
            context.wakeAt(lingerUntilMillis);
            context.note("router", "Stopping.", "openRequests", calls.open());
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
