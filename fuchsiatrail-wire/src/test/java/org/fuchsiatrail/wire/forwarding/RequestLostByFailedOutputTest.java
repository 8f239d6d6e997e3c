package org.fuchsiatrail.wire.forwarding;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.CacheEventsReply;
import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.StoreReply;
import org.fuchsiatrail.forwarding.SwitchMode;
import org.fuchsiatrail.wire.http.RawCaller;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that get no answer, or two, when an output or an input of the core throws. Counts the answers
 * of callers of each kind over real sockets, and how often their requests ran.
 */
class RequestLostByFailedOutputTest {

    private static final List<String> PATHS = List.of("/read/1", "/issue/1", "/ask/1", "/mark/1", "/mark/cut", "/none");
    private static final int CALLERS_OF_EACH_PATH = 4;
    private static final EntryVm PEER =
            new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "127.0.0.1:1", false);

    /** One output or input in so many throws. */
    private static final int INTERVAL = 3;

    /** When an output throws. */
    enum Moment {
        BEFORE,
        AFTER
    }

    /** What an exception in the core leaves behind. */
    enum CoreFailure {
        /** The input is reported without effect. */
        INPUT_WITHOUT_EFFECT,
        /** The input is reported after its whole effect. */
        INPUT_AFTER_ITS_EFFECT,
        /** The tick throws before it handles any input. */
        TICK_WITHOUT_EFFECT,
        /** The tick throws instead of returning its outputs. */
        TICK_WITHOUT_OUTPUTS
    }

    /** What one caller has received, which is all that its connection carried. */
    private record Received(String path, String attempt, String response) {}

    private static List<Class<?>> kinds(Class<?> sealedType) {
        return List.of(sealedType.getPermittedSubclasses());
    }

    static Stream<Arguments> outputsThatThrow() {
        return kinds(ForwardingOutput.class).stream()
                .flatMap(kind -> Stream.of(Moment.values()).map(moment -> Arguments.of(kind.getSimpleName(), moment)));
    }

    static Stream<Arguments> inputsThatThrow() {
        return kinds(ForwardingInput.class).stream()
                .flatMap(kind ->
                        Stream.of(CoreFailure.values()).map(failure -> Arguments.of(kind.getSimpleName(), failure)));
    }

    @ParameterizedTest
    @MethodSource("outputsThatThrow")
    void should_answer_each_request_once_when_outputs_throw(String kind, Moment moment) throws Exception {
        AtomicInteger executed = new AtomicInteger();
        Consumer<ForwardingOutput> thrower = output -> {
            if (output.getClass().getSimpleName().equals(kind) && executed.getAndIncrement() % INTERVAL == 0) {
                throw new IllegalStateException("thrown by the test");
            }
        };
        try (LoopOnLoopback loop = new LoopOnLoopback(
                core -> new InterceptedCore(core, null, null),
                handler -> moment == Moment.BEFORE ? thrower.andThen(handler) : handler.andThen(thrower))) {
            List<Received> received = callAll(loop);
            assertEachAnsweredOnce(loop, received);
            assertThat(loop.counter("outputs.failed")).isPositive();
        }
    }

    @ParameterizedTest
    @MethodSource("inputsThatThrow")
    void should_answer_each_request_once_when_inputs_throw(String kind, CoreFailure failure) throws Exception {
        try (LoopOnLoopback loop =
                new LoopOnLoopback(core -> new InterceptedCore(core, kind, failure), handler -> handler)) {
            List<Received> received = callAll(loop);
            assertEachAnsweredOnce(loop, received);
            assertThat(loop.counter("inputs.failed")).isPositive();
        }
    }

    /** A header or a field of the configuration that the platform's adapter does not expect. */
    @ParameterizedTest
    @CsvSource({
        "call, /read/1, 503",
        "call, /mark/1, 503",
        "dispatch, /read/1, 503",
        "dispatch, /issue/1, 503",
        "dispatch, /mark/1, 503",
        "head, /read/1, 502",
        "head, /issue/1, 502",
        "head, /mark/1, 502",
    })
    void should_answer_a_request_when_the_adapter_of_the_platform_throws(String step, String path, int status)
            throws Exception {
        try (LoopOnLoopback loop = new LoopOnLoopback(core -> core, handler -> handler);
                RawCaller caller = RawCaller.connect(loop.port())) {
            caller.send(request(path, "a1", LoopOnLoopback.THROW_AT + ": " + step + "\r\n"));
            String response = caller.readUntilEnd();
            assertThat(response).startsWith("HTTP/1.1 " + status);
            assertThat(loop.runs.containsKey("a1")).isEqualTo(status == 502);
        }
    }

    private static List<Received> callAll(LoopOnLoopback loop) throws Exception {
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Received>> pending = new ArrayList<>();
            for (int caller = 0; caller < CALLERS_OF_EACH_PATH; caller++) {
                for (String path : PATHS) {
                    String attempt = path.replace('/', '-') + "-" + caller;
                    pending.add(executor.submit(() -> call(loop, path, attempt)));
                }
            }
            List<Received> received = new ArrayList<>();
            for (Future<Received> call : pending) {
                received.add(call.get());
            }
            return received;
        }
    }

    /** Sends one request and reads all that its connection carries. */
    private static Received call(LoopOnLoopback loop, String path, String attempt) throws IOException {
        try (RawCaller caller = RawCaller.connect(loop.port()).send(request(path, attempt, ""))) {
            return new Received(path, attempt, caller.readUntilEnd());
        }
    }

    private static String request(String path, String attempt, String header) {
        return String.format(
                "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%sContent-Length: 4\r\nConnection: close\r\n\r\nbody",
                path, LoopOnLoopback.HOST, LoopOnLoopback.ATTEMPT, attempt, header);
    }

    private static void assertEachAnsweredOnce(LoopOnLoopback loop, List<Received> received) {
        for (Received answer : received) {
            String description = answer.attempt() + ": " + answer.response();
            int runs = Optional.ofNullable(loop.runs.get(answer.attempt()))
                    .map(AtomicInteger::get)
                    .orElse(0);
            assertThat(answer.response()).as(description).startsWith("HTTP/1.1 ");
            assertThat(answer.response().split("HTTP/1.1 ", -1)).as(description).hasSize(2);
            int status = Integer.parseInt(answer.response().substring(9, 12));
            assertThat(status).as(description).isIn(200, 404, 502, 503, 504);
            if (status == 503) {
                assertThat(runs).as("not run: " + description).isZero();
                assertThat(answer.response()).containsIgnoringCase("Retry-After: ");
            }
            if (!answer.path().equals("/read/1") && !answer.path().equals("/ask/1")) {
                assertThat(runs).as("run at most once: " + description).isLessThanOrEqualTo(1);
            }
            if (status == 200) {
                assertThat(runs).as(description).isPositive();
                assertWhole(answer, description);
            }
        }
    }

    /** A stream that looks complete holds all pieces once; others hold none twice. */
    private static void assertWhole(Received answer, String description) {
        if (answer.path().equals("/read/1") || answer.path().equals("/issue/1")) {
            assertThat(answer.response()).as(description).endsWith("\r\n\r\ndone " + answer.attempt());
            return;
        }
        boolean complete = answer.response().endsWith("0\r\n\r\n");
        assertThat(complete && answer.path().equals("/mark/cut"))
                .as(description)
                .isFalse();
        for (int number = 1; number <= LoopOnLoopback.PIECES; number++) {
            String piece = String.format(LoopOnLoopback.PIECE, number, answer.attempt());
            int count = answer.response().split(piece, -1).length - 1;
            assertThat(count).as(description).isBetween(complete ? 1 : 0, 1);
        }
    }

    /**
     * Passes inputs to a core except those of one kind of which some throw, and adds outputs and inputs of the kinds
     * that do not occur by themselves.
     */
    private static final class InterceptedCore implements ForwardingCore {

        private final ForwardingCore core;
        private final String failingKind;
        private final CoreFailure failure;
        private int matching;
        private int ticks;

        InterceptedCore(ForwardingCore core, String failingKind, CoreFailure failure) {
            this.core = core;
            this.failingKind = failingKind;
            this.failure = failure;
        }

        @Override
        public List<ForwardingOutput> tick(long nowMillis, List<ForwardingInput> received) {
            List<ForwardingInput> inputs = new ArrayList<>(received);
            ticks++;
            if (ticks % 5 == 0 && failingKind != null) {
                rareInputs().stream()
                        .filter(input -> input.getClass().getSimpleName().equals(failingKind))
                        .forEach(inputs::add);
            }
            List<ForwardingInput> failing = inputs.stream().filter(this::fails).toList();
            IllegalStateException cause = new IllegalStateException("thrown by the test");
            if (!failing.isEmpty() && failure == CoreFailure.TICK_WITHOUT_EFFECT) {
                throw cause;
            }
            if (failure == CoreFailure.INPUT_WITHOUT_EFFECT) {
                inputs.removeAll(failing);
            }
            List<ForwardingOutput> outputs = new ArrayList<>(core.tick(nowMillis, inputs));
            if (!failing.isEmpty() && failure == CoreFailure.TICK_WITHOUT_OUTPUTS) {
                throw cause;
            }
            failing.forEach(input -> outputs.add(new ForwardingOutput.InputFailed(input, cause)));
            if (failingKind == null && ticks % 5 == 0) {
                outputs.addAll(rareOutputs());
            }
            return outputs;
        }

        private boolean fails(ForwardingInput input) {
            return input.getClass().getSimpleName().equals(failingKind) && matching++ % INTERVAL == 0;
        }

        private static List<ForwardingOutput> rareOutputs() {
            UpstreamId engine = new UpstreamId("absent");
            RequestId request = new RequestId("absent");
            return List.of(
                    new ForwardingOutput.Cancel(new AttemptId("absent")),
                    new ForwardingOutput.AbortStream(request),
                    new ForwardingOutput.CallStore(-1, new StoreCall.EndLease(1), 1_000),
                    new ForwardingOutput.OrderWeights(
                            engine, "127.0.0.1:1", "m", 1, "vm-1", 1, 0, SwitchMode.RETAIN_RUNS),
                    new ForwardingOutput.QueryEngineState(engine, "127.0.0.1:1"),
                    new ForwardingOutput.ReadCacheEvents(engine, "127.0.0.1:1", 0, 1),
                    new ForwardingOutput.ReadCacheSnapshot(engine, "127.0.0.1:1"),
                    new ForwardingOutput.SendToPeer(
                            PEER.id(),
                            "127.0.0.1:1",
                            PeerMessage.ForwardingNews.builder(PEER, 1).build()),
                    new ForwardingOutput.LogEvent("test", "Line of the test.", Map.of()),
                    new ForwardingOutput.Count("test"),
                    new ForwardingOutput.Measure("test-time", 1),
                    new ForwardingOutput.InputFailed(
                            new ForwardingInput.ClockJumped(0), new IllegalStateException("thrown by the test")),
                    new ForwardingOutput.SystemFailed(
                            "test", Optional.of(request), new IllegalStateException("thrown by the test")),
                    new ForwardingOutput.Stopped());
        }

        private static List<ForwardingInput> rareInputs() {
            UpstreamId engine = new UpstreamId("absent");
            return List.of(
                    new ForwardingInput.CallerDisconnected(new RequestId("absent")),
                    new ForwardingInput.StoreAnswered(-1, new StoreReply.Conflict()),
                    new ForwardingInput.OrderAnswered(engine, new OrderReply.Busy()),
                    new ForwardingInput.CacheEventsReceived(engine, new CacheEventsReply.Snapshot(1, 1, List.of())),
                    new ForwardingInput.PeerMessageReceived(
                            PEER.id(),
                            PeerMessage.ForwardingNews.builder(PEER, 1).build()),
                    new ForwardingInput.StoreItemRelayed(
                            new StoreItem("other", 1, new byte[0], new StoreItemContent.Removed())),
                    new ForwardingInput.ClockJumped(0),
                    new ForwardingInput.StopRequested());
        }

        @Override
        public long nextDueMillis() {
            return core.nextDueMillis();
        }

        @Override
        public boolean ready() {
            return core.ready();
        }

        @Override
        public Optional<RoutingTable> routing() {
            return core.routing();
        }

        @Override
        public boolean stopping() {
            return core.stopping();
        }
    }
}
