package org.fuchsiatrail.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.fuchsiatrail.ApiKeys;
import org.fuchsiatrail.CacheEvents;
import org.fuchsiatrail.CacheRun;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Fuchsiatrail;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RouterCore;
import org.fuchsiatrail.RouterSettings;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.wire.peer.PeerCodec;

/**
 * Measures the cost of one router's control traffic in processor time, bytes sent, memory and store calls, as a
 * function of the number of peers, engines and cache events. The processor time is the elapsed time of the run, which
 * is single-threaded.
 *
 * <p>A single router core runs for one virtual minute. Peers and engines are not run: their messages are generated at
 * the intervals at which they would send them.
 */
final class ControlCostExperiment {

    private static final int VIRTUAL_MILLIS = 60_000;
    private static final int WARM_UP_ROUNDS = 2;
    private static final int CUSTOMERS = 250;
    private static final ModelVersion MODEL = new ModelVersion("model-0", "v1");

    private final PrintStream out;
    private final Clock clock = java.time.Clock.systemUTC()::millis;

    ControlCostExperiment(PrintStream out) {
        this.out = out;
    }

    /** The cost of one deployment size; store calls are the total of the virtual minute. */
    private record Cost(double corePercent, double sentKilobytesPerSecond, long heapKilobytes, long storeCalls) {}

    void run() {
        out.println("## Control cost of one router");
        out.println();
        out.println("| peers | engines | events/s read | core % | sent KB/s | heap KB | store calls/min |");
        out.println("|---|---|---|---|---|---|---|");
        int[][] sizes = {
            {6, 6, 0},
            {28, 6, 0},
            {56, 6, 0},
            {113, 6, 0},
            {6, 50, 0},
            {6, 100, 0},
            {6, 200, 0},
            {6, 6, 100},
            {6, 6, 300},
            {6, 6, 600},
            {113, 200, 600}
        };
        for (int[] size : sizes) {
            for (int round = 0; round < WARM_UP_ROUNDS; round++) {
                measure(size[0], size[1], size[2]);
            }
            Cost cost = measure(size[0], size[1], size[2]);
            out.printf(
                    Locale.ROOT,
                    "| %d | %d | %d | %.2f | %.1f | %d | %d |%n",
                    size[0],
                    size[1],
                    size[2],
                    cost.corePercent(),
                    cost.sentKilobytesPerSecond(),
                    cost.heapKilobytes(),
                    cost.storeCalls());
        }
        out.println();
    }

    private Cost measure(int peers, int engines, int eventsPerSecond) {
        long heapBytesBefore = usedHeapBytes();
        MeasuredRouter router = new MeasuredRouter(peers, engines, eventsPerSecond);
        router.planAndConfirm(intent(engines, peers));
        long startedAtMillis = clock.nowMillis();
        router.run(VIRTUAL_MILLIS);
        long elapsedMillis = clock.nowMillis() - startedAtMillis;
        long heapKilobytes = Math.max(0, usedHeapBytes() - heapBytesBefore) / 1024;
        router.requireReady();
        return new Cost(
                100.0 * elapsedMillis / VIRTUAL_MILLIS, router.sentBytes / 60_000.0, heapKilobytes, router.storeCalls);
    }

    private static long usedHeapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static Intent intent(int engines, int peers) {
        List<Intent.Customer> customers = new ArrayList<>();
        for (int number = 0; number < CUSTOMERS; number++) {
            String id = "customer-" + number;
            customers.add(new Intent.Customer(
                    id, ApiKeys.hash("0123456789abcdef", id + ".key"), 1, 0, List.of(MODEL.toString())));
        }
        List<Intent.Upstream> upstreams = new ArrayList<>();
        for (int number = 0; number < engines; number++) {
            upstreams.add(new Intent.Upstream(
                    "engine-" + number,
                    Intent.UpstreamKind.ENGINE,
                    "domain-" + number % 2,
                    "10.0.0.1:" + (1_000 + number),
                    List.of(MODEL.toString()),
                    true,
                    false));
        }
        Intent.Model model = new Intent.Model(MODEL.name(), MODEL.weights(), List.of());
        return new Intent(List.of(model), customers, upstreams, List.of(), List.of());
    }

    /** A router core with generated messages from peers, engines and the store. */
    private static final class MeasuredRouter {
        private final RouterCore core;
        private final List<Input> inputs = new ArrayList<>();
        private final int peers;
        private final int engines;
        private final int eventsPerSecond;
        private StoreResult.Found storedConfiguration;
        private OperatorAnswer.Planned plan;
        private long nowMillis = 1_000_000;
        private long sentBytes;
        private long storeCalls;
        private long sequence;
        private long nextCheckpoint;

        MeasuredRouter(int peers, int engines, int eventsPerSecond) {
            this.peers = peers;
            this.engines = engines;
            this.eventsPerSecond = eventsPerSecond;
            RouterSettings settings =
                    RouterSettings.builder().self(vm(0)).secret("bench").build();
            core = Fuchsiatrail.router(settings);
        }

        private static EntryVm vm(int number) {
            return new EntryVm(
                    new EntryVmId("vm-" + number),
                    new FailureDomain("domain-" + number % 2),
                    "10.1.0.1:" + (1_000 + number),
                    false);
        }

        void planAndConfirm(Intent intent) {
            inputs.add(new Input.OperatorAsked(1, new OperatorRequest.Plan(intent)));
            run(200);
            inputs.add(new Input.OperatorAsked(2, new OperatorRequest.Confirm(plan.planId(), intent)));
            run(10_000);
            sentBytes = 0;
            storeCalls = 0;
        }

        void run(int millis) {
            int heartbeatIntervalMillis = Math.max(250, 20 * peers);
            for (int elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += 10) {
                nowMillis += 10;
                for (int peer = 1; peer <= peers; peer++) {
                    if ((elapsedMillis / 10 + peer) % (heartbeatIntervalMillis / 10) == 0) {
                        inputs.add(heartbeat(peer));
                    }
                }
                addCacheEvents();
                List<Input> batch = List.copyOf(inputs);
                inputs.clear();
                core.tick(nowMillis, batch).forEach(this::execute);
            }
        }

        private Input heartbeat(int peer) {
            sequence++;
            List<LoadReport> loads = new ArrayList<>();
            for (int engine = peer; engine < engines; engine += peers) {
                loads.add(loadReport(engine));
            }
            List<PeerMessage.AssignedTokens> assignedTokens =
                    List.of(new PeerMessage.AssignedTokens(new UpstreamId("engine-0"), 500));
            PeerMessage heartbeat = new PeerMessage.Heartbeat(
                    vm(peer), 1, sequence, 1, false, loads, assignedTokens, List.of(), List.of(), List.of(), List.of());
            return new Input.PeerSpoke(new EntryVmId("vm-" + peer), heartbeat);
        }

        private LoadReport loadReport(int engine) {
            return new LoadReport(
                    new UpstreamId("engine-" + engine), 1, 100, 3, 64, 8_000, List.of(MODEL), false, nowMillis);
        }

        private void addCacheEvents() {
            int eventCount = eventsPerSecond / 100;
            if (eventCount == 0) {
                return;
            }
            long[] storedCheckpoints = new long[eventCount];
            for (int event = 0; event < eventCount; event++) {
                storedCheckpoints[event] = nextCheckpoint++ * 0x9E3779B97F4A7C15L;
            }
            inputs.add(new Input.CacheEventsArrived(new CacheEvents(
                    new UpstreamId("engine-0"),
                    1,
                    sequence,
                    sequence,
                    List.of(new CacheRun(storedCheckpoints[0], storedCheckpoints, new long[0])))));
        }

        private void execute(Output output) {
            switch (output) {
                case Output.SendToPeer send -> sentBytes += PeerCodec.encode(send.message()).length + 4;
                case Output.QueryLoad query ->
                    inputs.add(new Input.LoadArrived(
                            loadReport(Integer.parseInt(query.engine().value().substring("engine-".length())))));
                case Output.CallStore call -> {
                    storeCalls++;
                    answerStore(call);
                }
                case Output.AnswerOperator answer -> {
                    if (answer.answer() instanceof OperatorAnswer.Planned planned) {
                        plan = planned;
                    }
                }
                default -> {}
            }
        }

        private void answerStore(Output.CallStore call) {
            StoreResult result =
                    switch (call.request()) {
                        case StoreRequest.CompareAndSwap swap -> {
                            storedConfiguration = new StoreResult.Found(1, swap.value());
                            yield new StoreResult.Swapped(1);
                        }
                        case StoreRequest.Read read ->
                            storedConfiguration == null ? new StoreResult.Missing() : storedConfiguration;
                        case StoreRequest.Watch watch -> null;
                        default -> new StoreResult.VmList(List.of());
                    };
            if (result != null) {
                inputs.add(new Input.StoreAnswered(call.call(), result));
            }
        }

        void requireReady() {
            if (!core.ready()) {
                throw new IllegalStateException("The router is not ready: no configuration is in force.");
            }
        }
    }
}
