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

/** The engines of a virtual deployment and the connections to them. */
final class VirtualEngines {

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Faults faults;
    private final VirtualNetwork network;
    private final Map<UpstreamId, EngineModel> engines = new LinkedHashMap<>();
    private final Map<UpstreamId, FailureDomain> domains = new LinkedHashMap<>();
    private final Map<AttemptId, Connection> connections = new LinkedHashMap<>();
    private final Set<UpstreamId> down = new HashSet<>();
    private final Set<UpstreamId> frozen = new HashSet<>();
    private final List<Started> starts = new ArrayList<>();
    private String poison = "";
    private int poisonCrashes;
    private int mostLoads;

    VirtualEngines(VirtualTime time, SplittableRandom random, Faults faults, VirtualNetwork network) {
        this.time = time;
        this.random = random;
        this.faults = faults;
        this.network = network;
    }

    private record Connection(
            VirtualRouter router, long life, AttemptId attempt, UpstreamId engine, Output.StartEngine start) {}

    /**
     * A start as an engine saw it.
     *
     * @param atMillis when
     * @param engine the engine
     * @param start what the router sent
     */
    record Started(long atMillis, UpstreamId engine, Output.StartEngine start) {}

    void add(FailureDomain domain, EngineModel engine) {
        engines.put(engine.traits().id(), engine);
        domains.put(engine.traits().id(), domain);
    }

    EngineModel engine(UpstreamId id) {
        return engines.get(id);
    }

    Map<UpstreamId, EngineModel> all() {
        return engines;
    }

    FailureDomain domain(UpstreamId id) {
        return domains.get(id);
    }

    List<Started> starts() {
        return starts;
    }

    int mostLoads() {
        return mostLoads;
    }

    void poison(String text) {
        poison = text;
    }

    int poisonCrashes() {
        return poisonCrashes;
    }

    void step() {
        int loads = 0;
        for (EngineModel engine : engines.values()) {
            UpstreamId id = engine.traits().id();
            if (!down.contains(id) && !frozen.contains(id)) {
                engine.advance(time.now());
            }
            loads += engine.loadsUnderWay();
        }
        mostLoads = Math.max(mostLoads, loads);
    }

    private boolean reachable(VirtualRouter router, UpstreamId engine) {
        return !down.contains(engine) && network.connected(router.vm().failureDomain(), domains.get(engine));
    }

    void start(VirtualRouter router, Output.StartEngine start) {
        long life = router.life();
        time.after(network.delay(router.vm().failureDomain(), domains.get(start.engine())), () -> {
            if (!reachable(router, start.engine())) {
                router.give(life, new Input.EngineSpoke(start.attempt(), new EngineEvent.Lost(false, "refused")));
                return;
            }
            Connection connection = new Connection(router, life, start.attempt(), start.engine(), start);
            connections.put(start.attempt(), connection);
            starts.add(new Started(time.now(), start.engine(), start));
            boolean crash = !poison.isEmpty() && start.call().prompt().contains(poison);
            engines.get(start.engine()).start(time.now(), start.call(), event -> deliver(connection, event));
            if (crash) {
                poisonCrashes++;
                crash(start.engine(), 2_000);
            }
        });
    }

    private void deliver(Connection connection, EngineEvent event) {
        if (chance(faults.engineEventsLost)) {
            return;
        }
        send(connection, event);
        if (chance(faults.engineEventsRepeated)) {
            send(connection, event);
        }
        if (chance(faults.engineEventsCrossed) && !connections.isEmpty()) {
            List<Connection> all = List.copyOf(connections.values());
            Connection other = all.get(random.nextInt(all.size()));
            other.router().give(other.life(), new Input.EngineSpoke(other.attempt(), event));
        }
    }

    private void send(Connection connection, EngineEvent event) {
        long delay = network.delay(connection.router().vm().failureDomain(), domains.get(connection.engine()));
        time.after(delay, () -> {
            if (!connections.containsKey(connection.attempt())) {
                return;
            }
            if (!network.connected(connection.router().vm().failureDomain(), domains.get(connection.engine()))) {
                lose(connection);
                return;
            }
            boolean last = event instanceof EngineEvent.Ended || event instanceof EngineEvent.Refused;
            if (last) {
                connections.remove(connection.attempt());
            }
            connection.router().give(connection.life(), new Input.EngineSpoke(connection.attempt(), event));
        });
    }

    private void lose(Connection connection) {
        if (connections.remove(connection.attempt()) != null) {
            engines.get(connection.engine()).cancel(connection.start().call().request());
            EngineEvent lost = new EngineEvent.Lost(true, "connection lost");
            connection.router().give(connection.life(), new Input.EngineSpoke(connection.attempt(), lost));
        }
    }

    void cancel(Output.CancelEngine cancel) {
        if (connections.remove(cancel.attempt()) != null) {
            engines.get(cancel.engine()).cancel(cancel.request());
        }
    }

    void crash(UpstreamId engine, long downMillis) {
        engines.get(engine).restart();
        down.add(engine);
        loseWhere(engine);
        time.after(downMillis, () -> down.remove(engine));
    }

    private void loseWhere(UpstreamId engine) {
        for (Connection connection : List.copyOf(connections.values())) {
            if (connection.engine().equals(engine)) {
                time.after(1, () -> lose(connection));
            }
        }
    }

    void freeze(UpstreamId engine, long millis) {
        frozen.add(engine);
        time.after(millis, () -> frozen.remove(engine));
    }

    void routerDied(VirtualRouter router) {
        for (Connection connection : List.copyOf(connections.values())) {
            if (connection.router() == router) {
                connections.remove(connection.attempt());
                engines.get(connection.engine())
                        .cancel(connection.start().call().request());
            }
        }
    }

    void askLoad(VirtualRouter router, Output.QueryLoad ask) {
        long life = router.life();
        long delay = network.delay(router.vm().failureDomain(), domains.get(ask.engine()));
        if (frozen.contains(ask.engine())) {
            return;
        }
        time.after(
                2 * delay,
                () -> router.give(
                        life,
                        reachable(router, ask.engine())
                                ? new Input.LoadArrived(
                                        engines.get(ask.engine()).load(time.now()))
                                : new Input.LoadMissing(ask.engine())));
    }

    void readEvents(VirtualRouter router, Output.ReadCacheEvents read) {
        long life = router.life();
        if (!reachable(router, read.engine()) || frozen.contains(read.engine())) {
            return;
        }
        CacheEvents events = engines.get(read.engine()).cacheEvents(read.fromSequence());
        CacheEvents given = chance(faults.cacheEventsLost)
                ? new CacheEvents(
                        events.engine(), events.incarnation(), events.nextSequence(), events.nextSequence(), List.of())
                : events;
        time.after(2, () -> router.give(life, new Input.CacheEventsArrived(given)));
    }

    void order(VirtualRouter router, Output.OrderLoad order) {
        long life = router.life();
        if (!reachable(router, order.engine())) {
            router.give(life, new Input.OrderEnded(order.order(), false, "unknown"));
            return;
        }
        EngineModel engine = engines.get(order.engine());
        String reason = engine.order(time.now(), order.order(), order.model(), order.fencingToken());
        time.after(1, () -> router.give(life, new Input.OrderEnded(order.order(), reason.isEmpty(), reason)));
    }

    private boolean chance(double part) {
        return part > 0 && random.nextDouble() < part;
    }
}
