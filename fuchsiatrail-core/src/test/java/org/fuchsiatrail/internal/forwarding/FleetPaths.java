package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

import org.fuchsiatrail.EntryVmId;

/** The paths from the routers of an {@link EngineFleet} to engines and to each other. */
final class FleetPaths {

    /** How much later what a full link lets through arrives, in milliseconds. */
    private static final long FULL_LINK_DELAY_MILLIS = 700;

    /** One of so many new connections is established over a full link. */
    private static final int FULL_LINK_CONNECTIONS = 8;

    private final SplittableRandom random;
    private final LongSupplier clock;
    /** The silence of links between routers. */
    final FleetSilence silence = new FleetSilence();

    private final Map<EntryVmId, PathCut> cuts = new HashMap<>();
    private final Map<EntryVmId, Long> isolatedUntilMillis = new HashMap<>();
    private final Map<EntryVmId, Long> routersUnreachableUntilMillis = new HashMap<>();

    FleetPaths(SplittableRandom random, LongSupplier clock) {
        this.random = random;
        this.clock = clock;
    }

    void cut(ForwardingFixture router, PathCut cut) {
        cuts.put(router.self().id(), cut);
    }

    void heal() {
        cuts.clear();
    }

    /** Isolates a router from its peers. */
    void isolate(ForwardingFixture router, long millis) {
        isolatedUntilMillis.put(router.self().id(), clock.getAsLong() + millis);
    }

    boolean isIsolated(ForwardingFixture router) {
        return isBefore(isolatedUntilMillis, router);
    }

    /** Makes new connections of a router to other routers time out, while updates of peers still pass. */
    void cutToRouters(ForwardingFixture router, long millis) {
        routersUnreachableUntilMillis.put(router.self().id(), clock.getAsLong() + millis);
    }

    private boolean isBefore(Map<EntryVmId, Long> untilMillis, ForwardingFixture router) {
        return clock.getAsLong() < untilMillis.getOrDefault(router.self().id(), 0L);
    }

    private boolean is(ForwardingFixture router, PathCut cut) {
        return cuts.get(router.self().id()) == cut;
    }

    boolean hangs(ForwardingFixture router) {
        return is(router, PathCut.HANGS);
    }

    /** Returns whether a new connection of a router to a running engine fails. */
    boolean failsToEngine(ForwardingFixture router) {
        return is(router, PathCut.FULL_LINK)
                ? timesOutOnFullLink()
                : cuts.containsKey(router.self().id());
    }

    /** Returns whether a connection that fails does so by its timeout. */
    boolean failsByTimeout(ForwardingFixture router) {
        return hangs(router) || is(router, PathCut.FULL_LINK);
    }

    /** Returns whether a new connection of a router to another one times out. */
    boolean timesOutToRouter(ForwardingFixture router) {
        return isIsolated(router)
                || isBefore(routersUnreachableUntilMillis, router)
                || (is(router, PathCut.FULL_LINK) && timesOutOnFullLink());
    }

    private boolean timesOutOnFullLink() {
        return random.nextInt(FULL_LINK_CONNECTIONS) > 0;
    }

    /** How much later than usual the answers on new connections of a router arrive, in milliseconds. */
    long delayMillis(ForwardingFixture router) {
        return is(router, PathCut.FULL_LINK) ? FULL_LINK_DELAY_MILLIS : 0;
    }
}
