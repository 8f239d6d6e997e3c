package org.fuchsiatrail.internal.forwarding;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.Dispatch;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.forwarding.Route;
import org.fuchsiatrail.forwarding.RoutingTable;

/**
 * Takes callers' requests to upstreams and their answers back.
 *
 * <p>A request is on one upstream at a time. After a byte of it may have left, only the upstream's own word that it did
 * not run lets a request that must not repeat go elsewhere or be refused as not run.
 */
final class CallSystem {

    private final ForwardingContext context;
    private final KnownItems known;
    private final ForwardedUpstreams upstreams;
    private final CallSelection selection;
    private final CallTiming timing = new CallTiming();
    private final RetryBudgets budgets;
    private final EngineStates engineStates;
    private final CrashRegister crashes;
    private final PeerNews peers;
    private final Map<RequestId, CallRow> rows = new LinkedHashMap<>();
    private final Map<AttemptId, CallRow> attempts = new HashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::atMillis));
    private long nextAttempt = 1;

    private record Due(long atMillis, CallRow row) {}

    CallSystem(
            ForwardingContext context,
            KnownItems known,
            ForwardedUpstreams upstreams,
            RetryBudgets budgets,
            EngineStates engineStates,
            CrashRegister crashes,
            PeerNews peers) {
        this.context = context;
        this.known = known;
        this.upstreams = upstreams;
        this.budgets = budgets;
        this.engineStates = engineStates;
        this.crashes = crashes;
        this.peers = peers;
        this.selection = new CallSelection(context, known, upstreams, timing);
    }

    /** Takes a new request. */
    void arrive(RequestId request, ForwardedCall call) {
        context.count("requests");
        if (context.stoppingMillis() > CallTiming.LATEST_AFTER_STOP_MILLIS) {
            refuse(request, call, ResultCode.STOPPING, CallTiming.STOPPING_RETRY_MILLIS);
            return;
        }
        Optional<RoutingTable> routing = known.routing();
        if (routing.isEmpty()) {
            refuse(request, call, ResultCode.NOT_CONFIGURED, CallTiming.NOT_CONFIGURED_RETRY_MILLIS);
            return;
        }
        Optional<Route> route = routing.get().route(call.host(), call.path());
        if (route.isEmpty()) {
            refuse(request, call, ResultCode.NOT_FOUND, 0);
            return;
        }
        Optional<CustomerEntry> customer = routing.get().customer(call.apiKey());
        boolean keyNeeded = routing.get().keysRequired() && !route.get().open();
        if (keyNeeded && customer.isEmpty()) {
            refuse(request, call, ResultCode.UNAUTHORIZED, 0);
            return;
        }
        if (call.callerAttempt().isEmpty()) {
            refuse(request, call, ResultCode.INVALID_REQUEST, 0);
            return;
        }
        if (crashes.quarantined(call.fingerprint())) {
            refuse(request, call, ResultCode.UPSTREAM_FAILED, 0);
            return;
        }
        CallRow row = new CallRow(request, call, route.get(), customer, service(route.get()), context.now());
        row.waitUntilMillis = row.arrivedAtMillis + timing.waitMillis(row.route);
        rows.put(request, row);
        budgets.request(row.service);
        schedule(row, row.deadlineAtMillis);
        place(row);
    }

    private String service(Route route) {
        int total = route.targets().stream().mapToInt(Route.Target::weight).sum();
        int drawn = total > 0 ? context.random().nextInt(total) : 0;
        for (Route.Target target : route.targets()) {
            drawn -= target.weight();
            if (drawn < 0) {
                return target.service();
            }
        }
        return route.targets().getFirst().service();
    }

    /** Sends a request to the best upstream, or has it wait, or refuses it. */
    private void place(CallRow row) {
        long remaining = row.deadlineAtMillis - context.now();
        if (remaining < CallTiming.SHORTEST_ATTEMPT_MILLIS) {
            expire(row);
            return;
        }
        Optional<UpstreamPlacement.Choice> choice = selection.choose(row);
        if (choice.isEmpty()) {
            waitOrRefuse(row);
            return;
        }
        boolean first = row.sends == 0;
        if (first && choice.get().predictedMillis() > timing.longestWait(row, remaining)) {
            long retryAfter = timing.overloadRetryMillis(row.route, choice.get().predictedMillis());
            giveUp(
                    row,
                    ResultCode.OVERLOADED,
                    retryAfter,
                    "predicted " + Math.round(choice.get().predictedMillis()));
            return;
        }
        if (!first && !budgets.tryRepeat(row.service)) {
            context.count("retries.over-budget");
            giveUp(row, ResultCode.NO_UPSTREAM, CallTiming.BUDGET_RETRY_MILLIS, "retry budget is spent");
            return;
        }
        send(row, choice.get(), remaining);
    }

    private void waitOrRefuse(CallRow row) {
        if (context.now() < row.waitUntilMillis) {
            row.state = CallRow.State.WAITING;
            schedule(row, Math.min(row.waitUntilMillis, context.now() + CallTiming.PLACE_AGAIN_MILLIS));
            return;
        }
        giveUp(row, ResultCode.NO_UPSTREAM, CallTiming.NO_UPSTREAM_RETRY_MILLIS, "no upstream is usable");
    }

    private void send(CallRow row, UpstreamPlacement.Choice choice, long remaining) {
        ForwardedUpstream upstream = choice.upstream();
        row.state = CallRow.State.SENT;
        row.choice = choice;
        row.upstream = upstream;
        row.sends++;
        row.attempt = new AttemptId(context.settings().self().id() + "-" + nextAttempt++);
        row.patienceAtMillis = row.mayRepeat() && row.runs + 1 < row.route.maximumAttempts()
                ? context.now() + timing.patienceMillis(row.route, choice.predictedMillis())
                : Long.MAX_VALUE;
        attempts.put(row.attempt, row);
        upstream.inFlight.put(
                row.attempt,
                new ForwardedUpstream.AttemptRow(
                        context.now(),
                        !row.route.repeatable() || row.runs + 1 >= row.route.maximumAttempts(),
                        UpstreamPlacement.isShort(row.call.inputTokens()),
                        choice.uncachedTokens(),
                        choice.predictedMillis(),
                        choice.ownTokens() + row.call.outputTokens()));
        if (row.patienceAtMillis < row.deadlineAtMillis) {
            schedule(row, row.patienceAtMillis);
        }
        context.count(row.sends == 1 ? "attempts.first" : "attempts.repeated");
        Dispatch terms = terms(row, upstream, remaining);
        context.note(
                "calls",
                "Sent.",
                "request",
                row.call.callerAttempt(),
                "route",
                row.route.name(),
                "upstream",
                upstream.id(),
                "send",
                row.sends,
                "predictedMillis",
                Math.round(choice.predictedMillis()),
                "uncachedTokens",
                choice.uncachedTokens(),
                "running",
                upstream.running(context.now()),
                "remainingMillis",
                remaining,
                "weights",
                terms.weightsVersion().orElse(0),
                "configuration",
                known.routing().map(RoutingTable::version).orElse(0L));
        context.emit(
                new ForwardingOutput.Send(row.attempt, row.request, row.route.kind() == RequestKind.STREAM, terms));
    }

    private Dispatch terms(CallRow row, ForwardedUpstream upstream, long remaining) {
        Long version = row.route.prompted() ? upstream.weights.get(row.call.model()) : null;
        return new Dispatch(
                upstream.id(),
                upstream.entry.address(),
                remaining,
                row.customer.map(CustomerEntry::id),
                version == null ? OptionalLong.empty() : OptionalLong.of(version),
                version == null ? "" : CacheSalt.of(row.customer, version),
                row.route.prompted() ? OptionalInt.of(EnginePriority.of(row)) : OptionalInt.empty(),
                row.lastEvent,
                row.choice.fetchFrom(),
                row.choice.saveTo());
    }

    /** Takes what an upstream did with an attempt. */
    void receive(AttemptId attempt, AttemptEvent event) {
        CallRow row = attempts.get(attempt);
        if (row == null) {
            context.count("attempts.late-events");
            return;
        }
        row.upstream.heard(context.now());
        switch (event) {
            case AttemptEvent.Answered answered -> takeAnswer(row, answered.head());
            case AttemptEvent.Started started -> takeStart(row, started);
            case AttemptEvent.Progressed progressed -> takeProgress(row, progressed.lastEvent());
            case AttemptEvent.Finished finished -> {
                upstreams.succeeded(row.upstream);
                end(row, "Finished.", 200);
            }
            case AttemptEvent.Lost lost -> takeLoss(row, lost);
        }
    }

    private void observe(CallRow row, AttemptEvent.Head head) {
        head.load().ifPresent(load -> {
            row.upstream.load = load;
            row.upstream.loadAtMillis = context.now();
        });
        if (row.route.prompted() && head.weightsVersion().isPresent()) {
            row.upstream.sawWeights(row.call.model(), head.weightsVersion().getAsLong());
        }
    }

    private void takeAnswer(CallRow row, AttemptEvent.Head head) {
        observe(row, head);
        if (head.notRun()) {
            takeNotRun(row, head);
            return;
        }
        if (!head.genuine()) {
            takeLoss(row, new AttemptEvent.Lost(true, true, "", "the answer is not this request's"));
            return;
        }
        leave(row);
        row.runs++;
        boolean failed = head.status() >= 500;
        row.excluded.add(row.upstream.id());
        boolean again = failed && row.mayRepeat() && budgets.mayRepeat(row.service);
        if (again && selection.anyFor(row)) {
            context.note(
                    "calls",
                    "Upstream failed it.",
                    "request",
                    row.call.callerAttempt(),
                    "upstream",
                    row.upstream.id(),
                    "status",
                    head.status());
            context.emit(new ForwardingOutput.Cancel(row.attempt));
            place(row);
            return;
        }
        upstreams.succeeded(row.upstream);
        context.emit(new ForwardingOutput.Deliver(row.request, row.attempt));
        end(row, "Answered.", head.status());
    }

    private void takeStart(CallRow row, AttemptEvent.Started started) {
        observe(row, started.head());
        if (!started.head().genuine()) {
            takeLoss(row, new AttemptEvent.Lost(true, true, "", "the stream is not this request's"));
            return;
        }
        ForwardedUpstream.AttemptRow running = row.upstream.inFlight.get(row.attempt);
        if (running != null) {
            context.emit(new ForwardingOutput.Measure("first-event", context.now() - running.sentAtMillis));
            running.promptTokens = 0;
        }
        if (row.choice != null && row.route.prompted()) {
            long capacity = known.memoryTokens(row.service);
            PromptChain chain = row.choice.chain();
            peers.partsRead(row.upstream.id(), row.upstream.cache.read(chain.shared(), capacity));
        }
        upstreams.succeeded(row.upstream);
        row.state = CallRow.State.DELIVERING;
        context.emit(new ForwardingOutput.Deliver(row.request, row.attempt));
        takeProgress(row, started.firstEvent());
    }

    private void takeProgress(CallRow row, String lastEvent) {
        if (!lastEvent.isEmpty()) {
            row.lastEvent = lastEvent;
        }
        if (row.state == CallRow.State.DELIVERING && row.mayRepeat() && row.runs + 1 < row.route.maximumAttempts()) {
            row.patienceAtMillis = context.now() + CallTiming.LONGEST_PAUSE_MILLIS;
            schedule(row, row.patienceAtMillis);
        }
    }

    private void takeNotRun(CallRow row, AttemptEvent.Head head) {
        leave(row);
        context.count("attempts.not-run");
        context.note(
                "calls",
                "Not run by upstream.",
                "request",
                row.call.callerAttempt(),
                "upstream",
                row.upstream.id(),
                "status",
                head.status(),
                "send",
                row.sends);
        context.emit(new ForwardingOutput.Cancel(row.attempt));
        if (head.status() == CallTiming.MISDIRECTED) {
            takeMisdirected(row, head);
        } else {
            row.excluded.add(row.upstream.id());
            row.upstream.fullUntilMillis = context.now() + CallTiming.FULL_MILLIS;
        }
        if (row.sends >= CallTiming.MOST_SENDS) {
            giveUp(row, ResultCode.NO_UPSTREAM, CallTiming.NO_UPSTREAM_RETRY_MILLIS, "upstreams do not run it");
        } else {
            place(row);
        }
    }

    /** An engine has other weights, or is another than expected; other engines may have changed too. */
    private void takeMisdirected(CallRow row, AttemptEvent.Head head) {
        boolean weightsTold = row.route.prompted() && head.weightsVersion().isPresent();
        if (!weightsTold) {
            row.excluded.add(row.upstream.id());
        }
        if (row.route.prompted()) {
            long newest = row.upstream.weights.getOrDefault(row.call.model(), 0L);
            for (ForwardedUpstream other : upstreams.staying(row.service)) {
                if (other.weights.getOrDefault(row.call.model(), 0L) < newest
                        || (!weightsTold && other == row.upstream)) {
                    engineStates.ask(other);
                }
            }
        }
    }

    private void takeLoss(CallRow row, AttemptEvent.Lost lost) {
        boolean delivering = row.state == CallRow.State.DELIVERING;
        leave(row);
        context.count(lost.sent() ? "attempts.lost" : "attempts.not-sent");
        context.note(
                "calls",
                "Attempt lost.",
                "request",
                row.call.callerAttempt(),
                "upstream",
                row.upstream.id(),
                "sent",
                lost.sent(),
                "reason",
                lost.reason(),
                "delivering",
                delivering);
        boolean expected = lost.sent() && row.upstream.switching(context.now());
        if (!expected) {
            upstreams.failed(row.upstream, lost.reason());
        }
        row.excluded.add(row.upstream.id());
        context.emit(new ForwardingOutput.Cancel(row.attempt));
        if (lost.sent()) {
            row.runs++;
        }
        if (lost.sent() && !expected) {
            crashes.lost(row.call.fingerprint(), row.upstream.life());
        } else if (!lost.sent()) {
            crashes.unreachable(row.upstream.life());
        }
        if (!lost.lastEvent().isEmpty()) {
            row.lastEvent = lost.lastEvent();
        }
        afterLoss(row, lost.sent(), delivering);
    }

    private void afterLoss(CallRow row, boolean ran, boolean delivering) {
        boolean again = (!ran || row.mayRepeat()) && row.sends < CallTiming.MOST_SENDS;
        if (again && !delivering) {
            row.waitUntilMillis = Math.max(row.waitUntilMillis, context.now() + CallTiming.PLACE_AGAIN_MILLIS);
            place(row);
        } else if (again && budgets.mayRepeat(row.service)) {
            row.waitUntilMillis = context.now() + CallTiming.RESUME_WAIT_MILLIS;
            place(row);
        } else {
            giveUp(row, ResultCode.OUTCOME_UNKNOWN, 0, "lost after it was sent");
        }
    }

    /** Takes the news that a caller closed its connection. */
    void callerLeft(RequestId request) {
        CallRow row = rows.get(request);
        if (row == null) {
            return;
        }
        context.count("requests.caller-left");
        boolean letRun = row.route.kind() == RequestKind.NOT_IDEMPOTENT && row.state == CallRow.State.SENT;
        if (!letRun && row.attempt != null) {
            leave(row);
            context.emit(new ForwardingOutput.Cancel(row.attempt));
        }
        if (letRun) {
            row.patienceAtMillis = Long.MAX_VALUE;
        }
        end(row, "Caller left.", 0);
    }

    /** Looks at requests whose time has come. */
    void run() {
        while (!due.isEmpty() && due.peek().atMillis() <= context.now()) {
            CallRow row = due.poll().row();
            if (row.state != CallRow.State.OVER) {
                look(row);
            }
        }
    }

    private void look(CallRow row) {
        if (context.now() >= row.deadlineAtMillis) {
            expire(row);
        } else if (row.state == CallRow.State.WAITING) {
            place(row);
        } else if (context.now() >= row.patienceAtMillis) {
            boolean late = context.now() - row.patienceAtMillis > CallTiming.LATE_LOOK_MILLIS;
            row.patienceAtMillis = Long.MAX_VALUE;
            if (late || context.ageMillis() < CallTiming.WARM_UP_MILLIS) {
                row.patienceAtMillis = context.now() + CallTiming.LATE_PATIENCE_MILLIS;
                schedule(row, row.patienceAtMillis);
                return;
            }
            if (budgets.mayRepeat(row.service) && selection.anyBeside(row)) {
                context.count("attempts.given-up");
                takeLoss(row, new AttemptEvent.Lost(true, true, "", "no progress"));
            }
        }
    }

    private void expire(CallRow row) {
        boolean onUpstream = row.state == CallRow.State.SENT || row.state == CallRow.State.DELIVERING;
        if (onUpstream) {
            if (row.upstream.silentMillis(context.now()) > CallTiming.SILENCE_MILLIS) {
                upstreams.failed(row.upstream, "no answer in time");
            }
            leave(row);
            context.emit(new ForwardingOutput.Cancel(row.attempt));
            row.runs++;
        }
        giveUp(row, row.mayHaveRun() ? ResultCode.TIMED_OUT : ResultCode.NO_UPSTREAM, 0, "time is up");
    }

    /** Gives a request its final answer; what may have run is never told as not run. */
    private void giveUp(CallRow row, ResultCode code, long retryAfterMillis, String reason) {
        boolean truthful = code.mayHaveRun() || !row.mayHaveRun();
        ResultCode told = truthful ? code : ResultCode.OUTCOME_UNKNOWN;
        context.count("refusals." + told.number());
        context.note(
                "calls",
                "Refused.",
                "request",
                row.call.callerAttempt(),
                "route",
                row.route.name(),
                "code",
                told.number(),
                "reason",
                reason,
                "sends",
                row.sends,
                "runs",
                row.runs,
                "heldMillis",
                context.now() - row.arrivedAtMillis,
                "retryAfterMillis",
                retryAfterMillis);
        boolean begun = !row.lastEvent.equals(row.call.resumeAfter()) || row.state == CallRow.State.DELIVERING;
        if (begun) {
            context.emit(new ForwardingOutput.BreakOff(row.request));
        } else {
            context.emit(new ForwardingOutput.Refuse(row.request, told, retryAfterMillis));
        }
        forget(row);
    }

    private void refuse(RequestId request, ForwardedCall call, ResultCode code, long retryAfterMillis) {
        context.count("refusals." + code.number());
        context.note(
                "calls",
                "Refused.",
                "request",
                call.callerAttempt(),
                "host",
                call.host(),
                "path",
                call.path(),
                "code",
                code.number(),
                "configuration",
                known.routing().map(RoutingTable::version).orElse(0L));
        context.emit(new ForwardingOutput.Refuse(request, code, retryAfterMillis));
    }

    private void end(CallRow row, String sentence, int status) {
        long millis = context.now() - row.arrivedAtMillis;
        context.emit(new ForwardingOutput.Measure("requests." + row.route.kind(), millis));
        context.note(
                "calls",
                sentence,
                "request",
                row.call.callerAttempt(),
                "status",
                status,
                "millis",
                millis,
                "sends",
                row.sends);
        forget(row);
    }

    private void leave(CallRow row) {
        attempts.remove(row.attempt);
        ForwardedUpstream.AttemptRow left = row.upstream.inFlight.remove(row.attempt);
        boolean last = left != null && left.bound && row.upstream.ownBound() == 0;
        if (last && row.upstream.switching(context.now())) {
            peers.announceSoon();
        }
    }

    private void forget(CallRow row) {
        row.state = CallRow.State.OVER;
        rows.remove(row.request);
        if (row.attempt != null) {
            leave(row);
        }
    }

    private void schedule(CallRow row, long atMillis) {
        due.add(new Due(atMillis, row));
        context.wakeAt(atMillis);
    }

    int open() {
        return rows.size();
    }
}
