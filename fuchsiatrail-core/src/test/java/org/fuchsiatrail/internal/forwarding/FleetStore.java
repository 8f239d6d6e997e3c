package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItemContent;

/** What the routers of an {@link EngineFleet} write to the platform's store. */
final class FleetStore {

    /** The life of a member entry after its last renewal, which may be one interval old when a router is cut off. */
    private static final long MEMBER_LEASE_MILLIS = 18_500;

    private static final long MEMBER_RENEWAL_MILLIS = 1_500;

    private final List<ForwardingFixture> routers;
    private final BiConsumer<Long, Runnable> scheduler;
    private final Map<String, RouterBuild> buildByMember = new HashMap<>();

    /**
     * Creates a store without entries.
     *
     * @param routers the routers, also those that start later
     * @param scheduler performs an action after a time in milliseconds
     */
    FleetStore(List<ForwardingFixture> routers, BiConsumer<Long, Runnable> scheduler) {
        this.routers = routers;
        this.scheduler = scheduler;
    }

    /** Writes the member entries of all routers. */
    void registerMembers() {
        routers.forEach(this::registerMember);
    }

    /** Writes the member entry of a router, which depends on its build. */
    void registerMember(ForwardingFixture router) {
        String id = router.self().id().value();
        if (buildByMember.put(id, router.build) == router.build) {
            return;
        }
        StoreItemContent.Member member = new StoreItemContent.Member(
                router.self(),
                "10.0.0.1:" + id.substring(id.lastIndexOf('-') + 1),
                router.build.appliesVersionShares(),
                router.build == RouterBuild.PRESENT);
        routers.forEach(other -> other.put("members/" + id, member));
    }

    /** Removes the member entry of a router, whose lease has ended. */
    private void removeMember(ForwardingFixture router) {
        String id = router.self().id().value();
        buildByMember.remove(id);
        routers.forEach(other -> other.remove("members/" + id));
    }

    /** Removes the member entry of a router that cannot renew its lease, if it cannot for long enough. */
    void expireMember(ForwardingFixture router, LongSupplier millisLeft) {
        scheduler.accept(MEMBER_LEASE_MILLIS, () -> {
            if (millisLeft.getAsLong() > 0) {
                removeMember(router);
            }
        });
    }

    /** Makes a router write its member entry again, if that was removed. */
    void resumeMember(ForwardingFixture router) {
        scheduler.accept(MEMBER_RENEWAL_MILLIS, () -> registerMember(router));
    }

    /** Writes the entry of an engine. */
    void register(FleetEngine engine) {
        routers.forEach(router -> router.register(ForwardingFixture.entry(
                engine.id,
                "tutors",
                FleetEngine.SLOTS,
                Map.of(ForwardingFixture.MODEL, engine.weightsVersion),
                engine.draining,
                1,
                engine.failureDomain,
                engine.softwareVersion)));
    }

    /** Passes what a router writes on to all routers. */
    void connect(ForwardingFixture router) {
        Map<Long, String> keysByLease = new HashMap<>();
        router.quarantineListener = quarantine -> {
            keysByLease.put(quarantine.lease(), ForwardingFixture.quarantineKey(quarantine));
            routers.forEach(other -> other.putQuarantine(quarantine));
        };
        router.leaseEndListener = lease -> {
            String key = keysByLease.remove(lease);
            if (key != null) {
                routers.forEach(other -> other.remove(key));
            }
        };
        router.versionSharesListener = call -> {
            routers.forEach(other -> other.putVersionShares(call));
            if (call instanceof StoreCall.SetVersionShares set) {
                String key = ForwardingFixture.replacedSharesKey(set.replaced());
                scheduler.accept(router.lifetimeMillis(set.lease()), () -> routers.forEach(other -> other.remove(key)));
            }
        };
    }
}
