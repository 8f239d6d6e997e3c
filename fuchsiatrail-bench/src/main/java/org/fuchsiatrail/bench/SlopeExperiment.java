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
 * Measures what control costs one router: processor time, bytes sent and memory, against members, engines and events.
 *
 * <p>One core runs for a virtual minute; its peers are messages made here, as often as they would come.
 */
final class SlopeExperiment {

    private static final int VIRTUAL_MILLIS = 60_000;
    private static final int WARM_UP_ROUNDS = 2;
    private static final int CUSTOMERS = 250;
    private static final ModelVersion MODEL = new ModelVersion("model-0", "v1");

    private final PrintStream out;
    private final Clock clock = java.time.Clock.systemUTC()::millis;

    SlopeExperiment(PrintStream out) {
        this.out = out;
    }

    /** What a size cost. */
    private record Cost(double corePercent, double sentKilobytes, long heapKilobytes, long calls) {}

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
                    cost.sentKilobytes(),
                    cost.heapKilobytes(),
                    cost.calls());
        }
        out.println();
    }

    private Cost measure(int peers, int engines, int eventsPerSecond) {
        long heapBefore = heap();
        One one = new One(peers, engines, eventsPerSecond);
        one.putInForce(intent(engines, peers));
        long started = clock.nowMillis();
        one.run(VIRTUAL_MILLIS);
        long took = clock.nowMillis() - started;
        long heap = Math.max(0, heap() - heapBefore) / 1024;
        one.keepAlive();
        return new Cost(100.0 * took / VIRTUAL_MILLIS, one.sentBytes / 60_000.0, heap, one.storeCalls);
    }

    private static long heap() {
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

    /** One router with peers and engines that only speak as often as they would. */
    private static final class One {
        private final RouterCore core;
        private final List<Input> inputs = new ArrayList<>();
        private final int peers;
        private final int engines;
        private final int eventsPerSecond;
        private StoreResult.Found stored;
        private OperatorAnswer.Planned planned;
        private long now = 1_000_000;
        private long sentBytes;
        private long storeCalls;
        private long sequence;
        private long hash;

        One(int peers, int engines, int eventsPerSecond) {
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

        void putInForce(Intent intent) {
            inputs.add(new Input.OperatorAsked(1, new OperatorRequest.Plan(intent)));
            run(200);
            inputs.add(new Input.OperatorAsked(2, new OperatorRequest.Confirm(planned.planId(), intent)));
            run(10_000);
            sentBytes = 0;
            storeCalls = 0;
        }

        void run(int millis) {
            int beatEvery = Math.max(250, 20 * peers);
            for (int elapsed = 0; elapsed < millis; elapsed += 10) {
                now += 10;
                for (int peer = 1; peer <= peers; peer++) {
                    if ((elapsed / 10 + peer) % (beatEvery / 10) == 0) {
                        inputs.add(heartbeat(peer));
                    }
                }
                addEvents();
                List<Input> batch = List.copyOf(inputs);
                inputs.clear();
                core.tick(now, batch).forEach(this::handle);
            }
        }

        private Input heartbeat(int peer) {
            sequence++;
            List<LoadReport> loads = new ArrayList<>();
            for (int engine = peer; engine < engines; engine += peers) {
                loads.add(load(engine));
            }
            List<PeerMessage.AssignedTokens> work =
                    List.of(new PeerMessage.AssignedTokens(new UpstreamId("engine-0"), 500));
            PeerMessage beat = new PeerMessage.Heartbeat(
                    vm(peer), 1, sequence, 1, false, loads, work, List.of(), List.of(), List.of(), List.of());
            return new Input.PeerSpoke(new EntryVmId("vm-" + peer), beat);
        }

        private LoadReport load(int engine) {
            return new LoadReport(new UpstreamId("engine-" + engine), 1, 100, 3, 64, 8_000, List.of(MODEL), false, now);
        }

        private void addEvents() {
            int due = eventsPerSecond / 100;
            if (due == 0) {
                return;
            }
            long[] stored = new long[due];
            for (int event = 0; event < due; event++) {
                stored[event] = hash++ * 0x9E3779B97F4A7C15L;
            }
            inputs.add(new Input.CacheEventsArrived(new CacheEvents(
                    new UpstreamId("engine-0"),
                    1,
                    sequence,
                    sequence,
                    List.of(new CacheRun(stored[0], stored, new long[0])))));
        }

        private void handle(Output output) {
            switch (output) {
                case Output.SendToPeer send -> sentBytes += PeerCodec.write(send.message()).length + 4;
                case Output.QueryLoad ask ->
                    inputs.add(new Input.LoadArrived(
                            load(Integer.parseInt(ask.engine().value().substring("engine-".length())))));
                case Output.CallStore call -> {
                    storeCalls++;
                    answer(call);
                }
                case Output.AnswerOperator answer -> {
                    if (answer.answer() instanceof OperatorAnswer.Planned plan) {
                        planned = plan;
                    }
                }
                default -> {}
            }
        }

        private void answer(Output.CallStore call) {
            StoreResult result =
                    switch (call.request()) {
                        case StoreRequest.CompareAndSwap swap -> {
                            stored = new StoreResult.Found(1, swap.value());
                            yield new StoreResult.Swapped(1);
                        }
                        case StoreRequest.Read read -> stored == null ? new StoreResult.Missing() : stored;
                        case StoreRequest.Watch watch -> null;
                        default -> new StoreResult.VmList(List.of());
                    };
            if (result != null) {
                inputs.add(new Input.StoreAnswered(call.call(), result));
            }
        }

        void keepAlive() {
            if (!core.ready()) {
                throw new IllegalStateException("The router has no configuration.");
            }
        }
    }
}
