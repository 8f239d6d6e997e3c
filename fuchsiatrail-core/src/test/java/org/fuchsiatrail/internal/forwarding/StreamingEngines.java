package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.StoreItemContent;

/** Engines that send one router an event of each stream in each step, and may fall silent and go on. */
final class StreamingEngines {

    private static final long STEP_MILLIS = 50;
    private static final int EVENTS = 100;
    /** How long callers wait for the next event, in milliseconds. */
    private static final long CALLER_PATIENCE_MILLIS = 2_000;

    final ForwardingFixture router = new ForwardingFixture();
    /** The longest time without an event of each stream, in milliseconds. */
    final Map<RequestId, Long> longestPauseMillis = new LinkedHashMap<>();

    int runs;
    int completed;
    /** The number of attempts that were sent to another router. */
    int relayed;

    int left;
    /** With what other routers refuse all requests after a step; without it they never answer. */
    Optional<ResultCode> refusalOfRouters = Optional.empty();

    /** How many of the next connections to engines fail before a request is sent. */
    int connectionsToFail;

    private final int slots;
    private final Set<String> silent = new HashSet<>();
    private final Set<String> refusing = new HashSet<>();
    private final Set<String> breaking = new HashSet<>();
    private final Map<AttemptId, Run> running = new LinkedHashMap<>();
    private final Map<RequestId, Long> lastEventAtMillis = new HashMap<>();
    private final List<ForwardingOutput.Send> relayedSends = new ArrayList<>();
    private int outputsRead;

    private static final class Run {
        private final ForwardingOutput.Send send;
        private int lastEvent;
        private boolean begun;

        private Run(ForwardingOutput.Send send) {
            this.send = send;
            String resumeAfter = send.dispatch().resumeAfterEventId();
            lastEvent = resumeAfter.isEmpty() ? 0 : Integer.parseInt(resumeAfter);
        }

        private String engine() {
            return send.dispatch().upstream().value();
        }
    }

    StreamingEngines(int slots, String... names) {
        this.slots = slots;
        router.configured();
        for (String name : names) {
            router.register(
                    ForwardingFixture.entry(name, "tutors", slots, Map.of(ForwardingFixture.MODEL, 1L), false, 1));
        }
        router.start();
        advanceTime(CallTiming.WARM_UP_MILLIS);
    }

    /** Registers another router. */
    void registerRouter(String name) {
        EntryVm vm = new EntryVm(new EntryVmId(name), new FailureDomain("lima-b"), "10.0.0.2:7000", false);
        router.put("members/" + name, new StoreItemContent.Member(vm, "10.0.0.2:80"));
    }

    /** Begins streams and lets them run for half a second. */
    void begin(int streams) {
        for (int number = 1; number <= streams; number++) {
            router.call("/ask/" + number);
            execute();
        }
        advanceTime(500);
    }

    /** Begins further streams at once. */
    void beginMore(int streams) {
        for (int number = 1; number <= streams; number++) {
            router.call("/ask/more-" + number);
            execute();
        }
    }

    void silence(String... names) {
        silent.addAll(List.of(names));
    }

    void endSilence() {
        silent.clear();
    }

    void endSilence(String... names) {
        silent.removeAll(List.of(names));
    }

    /** Makes engines refuse all new requests from now on, because others fill them. */
    void refuseNew(String... names) {
        refusing.addAll(List.of(names));
    }

    /** Makes engines break the connection of each new request from now on. */
    void breakNew(String... names) {
        breaking.addAll(List.of(names));
    }

    /** The number of runs in progress on an engine. */
    long running(String engine) {
        return running.values().stream()
                .filter(run -> run.engine().equals(engine))
                .count();
    }

    /** Spends retries on requests that are refused once, or all that are left. */
    void spendRetries(int retries) {
        for (int number = 1; number <= retries; number++) {
            RequestId request = router.call("/ask/spend-" + number);
            router.answerNotExecuted(router.send(request));
            if (router.sends(request).size() > 1) {
                router.finish(router.send(request));
            }
            outputsRead = router.outputs.size();
            advanceTime(STEP_MILLIS);
        }
    }

    /** Makes the caller of a stream that runs on an engine leave. */
    void leave(String engine) {
        running.values().stream()
                .filter(run -> run.engine().equals(engine))
                .findFirst()
                .ifPresent(run -> {
                    lastEventAtMillis.remove(run.send.request());
                    router.tick(new ForwardingInput.CallerDisconnected(run.send.request()));
                });
        execute();
    }

    /** Breaks all connections to an engine. */
    void reset(String engine) {
        for (Run run : List.copyOf(running.values())) {
            if (run.engine().equals(engine)) {
                running.remove(run.send.attempt());
                router.lost(run.send, true, Integer.toString(run.lastEvent));
            }
        }
        execute();
    }

    void advanceTime(long millis) {
        long endMillis = router.now + millis;
        while (router.now < endMillis) {
            router.advanceTime(Math.min(STEP_MILLIS, endMillis - router.now));
            refuseRelayed();
            execute();
            List.copyOf(running.values()).stream()
                    .filter(run -> !silent.contains(run.engine()))
                    .forEach(this::sendEvent);
            execute();
            leaveSilentStreams();
        }
    }

    private void sendEvent(Run run) {
        RequestId request = run.send.request();
        recordEvent(request);
        if (run.lastEvent == EVENTS) {
            running.remove(run.send.attempt());
            lastEventAtMillis.remove(request);
            completed++;
            router.deliverEvent(run.send, new AttemptEvent.Finished());
            return;
        }
        String eventId = Integer.toString(++run.lastEvent);
        AttemptEvent event = run.begun
                ? new AttemptEvent.Progressed(eventId)
                : new AttemptEvent.Started(ForwardingFixture.head(200, true, false), eventId);
        run.begun = true;
        router.deliverEvent(run.send, event);
    }

    private void recordEvent(RequestId request) {
        long pauseMillis = router.now - lastEventAtMillis.getOrDefault(request, router.now);
        longestPauseMillis.merge(request, pauseMillis, Math::max);
        lastEventAtMillis.put(request, router.now);
    }

    private void leaveSilentStreams() {
        for (Map.Entry<RequestId, Long> event : Map.copyOf(lastEventAtMillis).entrySet()) {
            if (router.now - event.getValue() >= CALLER_PATIENCE_MILLIS && !router.isAborted(event.getKey())) {
                lastEventAtMillis.remove(event.getKey());
                left++;
                router.tick(new ForwardingInput.CallerDisconnected(event.getKey()));
            }
        }
        execute();
    }

    private void execute() {
        while (outputsRead < router.outputs.size()) {
            switch (router.outputs.get(outputsRead++)) {
                case ForwardingOutput.Send send -> receive(send);
                case ForwardingOutput.Cancel cancel -> running.remove(cancel.attempt());
                case ForwardingOutput.QueryEngineState query -> answerProbe(query.engine());
                default -> {}
            }
        }
    }

    private void receive(ForwardingOutput.Send send) {
        if (send.dispatch().toRouter()) {
            relayed++;
            refusalOfRouters.ifPresent(code -> relayedSends.add(send));
            return;
        }
        if (connectionsToFail > 0) {
            connectionsToFail--;
            router.lost(send, false, "");
            return;
        }
        Run run = new Run(send);
        if (running(run.engine()) >= slots || refusing.contains(run.engine())) {
            router.answerNotExecuted(send);
            return;
        }
        if (breaking.contains(run.engine())) {
            router.lost(send, true, "");
            return;
        }
        runs++;
        running.put(send.attempt(), run);
    }

    private void refuseRelayed() {
        List<ForwardingOutput.Send> refused = List.copyOf(relayedSends);
        relayedSends.clear();
        refused.forEach(send -> refuseRelayed(send, refusalOfRouters.orElseThrow()));
    }

    private void refuseRelayed(ForwardingOutput.Send send, ResultCode code) {
        AttemptEvent.Head head = AttemptEvent.Head.builder(code.httpStatus())
                .withoutPath(code == ResultCode.WITHOUT_PATH)
                .notSent(true)
                .build();
        router.deliverEvent(send, new AttemptEvent.Answered(head));
    }

    private void answerProbe(UpstreamId engine) {
        if (!silent.contains(engine.value())) {
            router.tick(new ForwardingInput.OrderAnswered(
                    engine, new OrderReply.State(false, 0, Map.of(ForwardingFixture.MODEL, 1L))));
        }
    }

    long aborted() {
        return router.all(ForwardingOutput.AbortStream.class).size();
    }

    /** The log lines with a message. */
    List<ForwardingOutput.LogEvent> logged(String message) {
        return router.all(ForwardingOutput.LogEvent.class).stream()
                .filter(line -> line.message().equals(message))
                .toList();
    }
}
