package org.fuchsiatrail.standins.drive;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.CacheEvents;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.standins.model.EngineModel;

/** The engines of a virtual deployment and the connections from routers to them. */
final class VirtualEngines {

    /** How long an engine that ended silently is down, in milliseconds. */
    private static final long SILENT_DOWN_MILLIS = 6_000;

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Faults faults;
    private final VirtualNetwork network;
    private final Map<UpstreamId, EngineModel> engines = new LinkedHashMap<>();
    private final Map<UpstreamId, FailureDomain> domains = new LinkedHashMap<>();
    private final Map<AttemptId, Connection> connections = new LinkedHashMap<>();
    private final Set<UpstreamId> downEngines = new HashSet<>();
    private final Set<UpstreamId> frozenEngines = new HashSet<>();
    private final List<StartedAttempt> startedAttempts = new ArrayList<>();
    private String poisonText = "";
    private boolean poisonEndsSilently;
    private int poisonCrashes;
    private int maximumConcurrentLoads;

    VirtualEngines(VirtualTime time, SplittableRandom random, Faults faults, VirtualNetwork network) {
        this.time = time;
        this.random = random;
        this.faults = faults;
        this.network = network;
    }

    private record Connection(
            VirtualRouter router, long incarnation, AttemptId attempt, UpstreamId engine, Output.StartEngine start) {}

    /**
     * An attempt that arrived at an engine.
     *
     * @param atMillis the time of arrival in milliseconds
     * @param engine the engine
     * @param start the router's output that started the attempt
     */
    record StartedAttempt(long atMillis, UpstreamId engine, Output.StartEngine start) {}

    void add(FailureDomain domain, EngineModel engine) {
        engines.put(engine.traits().id(), engine);
        domains.put(engine.traits().id(), domain);
    }

    EngineModel engine(UpstreamId id) {
        return engines.get(id);
    }

    Map<UpstreamId, EngineModel> engines() {
        return engines;
    }

    FailureDomain domainOf(UpstreamId id) {
        return domains.get(id);
    }

    List<StartedAttempt> startedAttempts() {
        return startedAttempts;
    }

    int maximumConcurrentLoads() {
        return maximumConcurrentLoads;
    }

    void setPoisonText(String text) {
        poisonText = text;
    }

    void setPoisonEndsSilently(boolean silently) {
        poisonEndsSilently = silently;
    }

    int poisonCrashes() {
        return poisonCrashes;
    }

    void advance() {
        int loads = 0;
        for (EngineModel engine : engines.values()) {
            UpstreamId id = engine.traits().id();
            if (!downEngines.contains(id) && !frozenEngines.contains(id)) {
                engine.advance(time.now());
            }
            loads += engine.loadsInProgress();
        }
        maximumConcurrentLoads = Math.max(maximumConcurrentLoads, loads);
    }

    private boolean isReachable(VirtualRouter router, UpstreamId engine) {
        return !downEngines.contains(engine) && network.areConnected(router.vm().failureDomain(), domains.get(engine));
    }

    void start(VirtualRouter router, Output.StartEngine start) {
        long incarnation = router.incarnation();
        time.schedule(network.delayMillis(router.vm().failureDomain(), domains.get(start.engine())), () -> {
            if (!isReachable(router, start.engine())) {
                router.deliver(
                        incarnation, new Input.EngineSpoke(start.attempt(), new EngineEvent.Lost(false, "refused")));
                return;
            }
            Connection connection = new Connection(router, incarnation, start.attempt(), start.engine(), start);
            connections.put(start.attempt(), connection);
            startedAttempts.add(new StartedAttempt(time.now(), start.engine(), start));
            boolean crash = !poisonText.isEmpty() && start.call().prompt().contains(poisonText);
            engines.get(start.engine()).start(time.now(), start.call(), event -> sendWithFaults(connection, event));
            if (crash && !frozenEngines.contains(start.engine())) {
                crashByPoison(start.engine());
            }
        });
    }

    private void crashByPoison(UpstreamId engine) {
        poisonCrashes++;
        if (poisonEndsSilently) {
            freeze(engine, SILENT_DOWN_MILLIS);
            time.schedule(SILENT_DOWN_MILLIS, () -> engines.get(engine).restart());
        } else {
            crash(engine, 2_000);
        }
    }

    private void sendWithFaults(Connection connection, EngineEvent event) {
        if (withProbability(faults.engineEventLossRate)) {
            return;
        }
        sendAfterDelay(connection, event);
        if (withProbability(faults.engineEventDuplicationRate)) {
            sendAfterDelay(connection, event);
        }
        if (withProbability(faults.engineEventMisdeliveryRate) && !connections.isEmpty()) {
            List<Connection> openConnections = List.copyOf(connections.values());
            Connection target = openConnections.get(random.nextInt(openConnections.size()));
            target.router().deliver(target.incarnation(), new Input.EngineSpoke(target.attempt(), event));
        }
    }

    private void sendAfterDelay(Connection connection, EngineEvent event) {
        long delayMillis =
                network.delayMillis(connection.router().vm().failureDomain(), domains.get(connection.engine()));
        time.schedule(delayMillis, () -> {
            if (!connections.containsKey(connection.attempt())) {
                return;
            }
            if (!network.areConnected(connection.router().vm().failureDomain(), domains.get(connection.engine()))) {
                breakConnection(connection);
                return;
            }
            boolean last = event instanceof EngineEvent.Ended || event instanceof EngineEvent.Refused;
            if (last) {
                connections.remove(connection.attempt());
            }
            connection.router().deliver(connection.incarnation(), new Input.EngineSpoke(connection.attempt(), event));
        });
    }

    private void breakConnection(Connection connection) {
        if (connections.remove(connection.attempt()) != null) {
            engines.get(connection.engine()).cancel(connection.start().call().request());
            EngineEvent lost = new EngineEvent.Lost(true, "connection lost");
            connection.router().deliver(connection.incarnation(), new Input.EngineSpoke(connection.attempt(), lost));
        }
    }

    void cancel(Output.CancelEngine cancel) {
        if (connections.remove(cancel.attempt()) != null) {
            engines.get(cancel.engine()).cancel(cancel.request());
        }
    }

    void crash(UpstreamId engine, long downMillis) {
        engines.get(engine).restart();
        downEngines.add(engine);
        breakConnectionsTo(engine);
        time.schedule(downMillis, () -> downEngines.remove(engine));
    }

    private void breakConnectionsTo(UpstreamId engine) {
        for (Connection connection : List.copyOf(connections.values())) {
            if (connection.engine().equals(engine)) {
                time.schedule(1, () -> breakConnection(connection));
            }
        }
    }

    void freeze(UpstreamId engine, long millis) {
        frozenEngines.add(engine);
        time.schedule(millis, () -> frozenEngines.remove(engine));
    }

    void closeConnectionsOf(VirtualRouter router) {
        for (Connection connection : List.copyOf(connections.values())) {
            if (connection.router() == router) {
                connections.remove(connection.attempt());
                engines.get(connection.engine())
                        .cancel(connection.start().call().request());
            }
        }
    }

    void queryLoad(VirtualRouter router, Output.QueryLoad query) {
        long incarnation = router.incarnation();
        long delayMillis = network.delayMillis(router.vm().failureDomain(), domains.get(query.engine()));
        if (frozenEngines.contains(query.engine())) {
            return;
        }
        time.schedule(
                2 * delayMillis,
                () -> router.deliver(
                        incarnation,
                        isReachable(router, query.engine())
                                ? new Input.LoadArrived(
                                        engines.get(query.engine()).load(time.now()))
                                : new Input.LoadMissing(query.engine())));
    }

    void readCacheEvents(VirtualRouter router, Output.ReadCacheEvents read) {
        long incarnation = router.incarnation();
        if (!isReachable(router, read.engine()) || frozenEngines.contains(read.engine())) {
            return;
        }
        CacheEvents events = engines.get(read.engine()).cacheEvents(read.fromSequence());
        CacheEvents delivered = withProbability(faults.cacheEventLossRate)
                ? new CacheEvents(
                        events.engine(), events.incarnation(), events.nextSequence(), events.nextSequence(), List.of())
                : events;
        time.schedule(2, () -> router.deliver(incarnation, new Input.CacheEventsArrived(delivered)));
    }

    void sendLoadOrder(VirtualRouter router, Output.OrderLoad order) {
        long incarnation = router.incarnation();
        if (!isReachable(router, order.engine())) {
            router.deliver(incarnation, new Input.OrderEnded(order.order(), false, "unknown"));
            return;
        }
        EngineModel engine = engines.get(order.engine());
        String reason = engine.acceptLoadOrder(time.now(), order.order(), order.model(), order.fencingToken());
        time.schedule(
                1, () -> router.deliver(incarnation, new Input.OrderEnded(order.order(), reason.isEmpty(), reason)));
    }

    private boolean withProbability(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }
}
