package org.fuchsiatrail.internal.quarantine;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RouterSettings;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.router.RouterContext;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a quarantine that routers renew by telling each other of the same crashes. */
class QuarantineNeverEndsTest {

    private static final long QUARANTINE_MILLIS = 60_000;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final long TRANSIT_MILLIS = 100;

    /** The time after which a quarantine must have ended at all routers, in milliseconds after the last crash. */
    private static final long END_MILLIS = QUARANTINE_MILLIS + 5_000;

    private static final String REQUEST = "huaman/digest";

    private long now;

    /** A router whose clock is ahead of the others' by a fixed time. */
    private final class Router {
        private final RouterContext context;
        private final QuarantineSystem quarantine;
        private final long aheadMillis;

        Router(String name, long aheadMillis) {
            EntryVm vm = new EntryVm(new EntryVmId(name), new FailureDomain("lima-a"), "10.0.0.1:7000", false);
            this.aheadMillis = aheadMillis;
            context = new RouterContext(RouterSettings.builder()
                    .self(vm)
                    .quarantineMillis(QUARANTINE_MILLIS)
                    .build());
            quarantine = new QuarantineSystem(context, () -> {});
        }

        void tick() {
            context.beginTick(now + aheadMillis);
            quarantine.run();
        }
    }

    private static void crash(Router router, int number) {
        router.quarantine.recordCrash(new UpstreamId("engine-" + number), 1, List.of(REQUEST));
    }

    /** Exchanges heartbeats for a time; each arrives some time after it was sent. */
    private void exchangeHeartbeats(List<Router> routers, long millis) {
        for (long end = now + millis; now < end; now += HEARTBEAT_INTERVAL_MILLIS) {
            List<List<PeerMessage.Suspicion>> sent = new ArrayList<>();
            for (Router router : routers) {
                router.tick();
                sent.add(router.quarantine.suspicions());
            }
            now += TRANSIT_MILLIS;
            for (Router router : routers) {
                router.tick();
                sent.forEach(router.quarantine::receiveSuspicions);
            }
        }
    }

    @Test
    void should_end_at_all_routers_when_the_time_since_the_last_crash_has_passed() {
        List<Router> routers = List.of(new Router("vm-1", 0), new Router("vm-2", 40_000), new Router("vm-3", 3_000));
        routers.forEach(Router::tick);
        crash(routers.get(0), 1);
        crash(routers.get(1), 2);
        exchangeHeartbeats(routers, QUARANTINE_MILLIS / 2);
        assertThat(routers).allMatch(router -> router.quarantine.isQuarantined(REQUEST));
        exchangeHeartbeats(routers, END_MILLIS - QUARANTINE_MILLIS / 2);
        assertThat(routers).noneMatch(router -> router.quarantine.isSuspect(REQUEST));
    }

    @Test
    void should_end_at_a_router_that_restarted_meanwhile() {
        List<Router> routers = new ArrayList<>(List.of(new Router("vm-1", 0), new Router("vm-2", 0)));
        routers.forEach(Router::tick);
        crash(routers.get(0), 1);
        crash(routers.get(0), 2);
        exchangeHeartbeats(routers, QUARANTINE_MILLIS / 2);
        routers.set(1, new Router("vm-2", 7_000));
        exchangeHeartbeats(routers, QUARANTINE_MILLIS / 4);
        assertThat(routers).allMatch(router -> router.quarantine.isQuarantined(REQUEST));
        exchangeHeartbeats(routers, END_MILLIS - QUARANTINE_MILLIS * 3 / 4);
        assertThat(routers).noneMatch(router -> router.quarantine.isSuspect(REQUEST));
    }
}
