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

/**
 * Takes callers' requests to upstreams and their answers back.
 *
 * <p>A request is on one upstream at a time. After a byte of it may have left, only the upstream's own word that it did
 * not run lets a request that must not repeat go elsewhere or be refused as not run.
 */
final class CallSystem {

    private final ForwardingContext context;
    private final StoreReplica known;
    private final UpstreamTable upstreams;
    private final CallIntake intake;
    private final CallSelection selection;
    private final CallLog log;
    private final EarlyCalls early;
    private final CallTiming timing = new CallTiming();
    private final RetryBudgets budgets;
    private final EngineProbes probes;
    private final CrashTracker crashes;
    private final PeerGossip peers;
    private final Map<RequestId, CallRow> rows = new LinkedHashMap<>();
    private final Map<AttemptId, CallRow> attempts = new HashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::atMillis));
    private long nextAttempt = 1;

    private record Due(long atMillis, CallRow row) {}

    CallSystem(
            ForwardingContext context,
            StoreReplica known,
            UpstreamTable upstreams,
            RetryBudgets budgets,
            EngineProbes probes,
            CrashTracker crashes,
            PeerGossip peers) {
        this.context = context;
        this.known = known;
        this.upstreams = upstreams;
        this.budgets = budgets;
        this.probes = probes;
        this.crashes = crashes;
        this.peers = peers;
        this.selection = new CallSelection(context, known, upstreams, timing);
        this.intake = new CallIntake(context, known, crashes);
        this.log = new CallLog(context, known);
        this.early = new EarlyCalls(context);
    }

    /** Takes a new request. */
    void arrive(RequestId request, ForwardedCall call) {
        context.count("requests");
        if (known.routing().isPresent() || !early.hold(request, call)) {
            take(request, call);
        }
    }

    private void take(RequestId request, ForwardedCall call) {
        switch (intake.take(request, call)) {
            case CallIntake.Refused refused -> {
                log.refused(call, refused.code());
                context.emit(new ForwardingOutput.Refuse(request, refused.code(), refused.retryAfterMillis()));
            }
            case CallIntake.Taken taken -> {
                CallRow row = taken.row();
                row.waitUntilMillis = row.arrivedAtMillis + timing.waitMillis(row.route);
                rows.put(request, row);
                budgets.recordRequest(row.service);
                schedule(row, row.deadlineAtMillis);
                place(row);
            }
        }
    }

    /** Sends a request to the best upstream, or has it wait, or refuses it. */
    private void place(CallRow row) {
        long remaining = row.deadlineAtMillis - context.now();
        if (remaining < CallTiming.SHORTEST_ATTEMPT_MILLIS) {
            expire(row);
            return;
        }
        Optional<UpstreamPlacement.Placement> choice = selection.choose(row);
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
        if (!first && !budgets.tryRetry(row.service)) {
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

    private void send(CallRow row, UpstreamPlacement.Placement choice, long remaining) {
        UpstreamState upstream = choice.upstream();
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
                new UpstreamState.InFlightAttempt(
                        context.now(),
                        !row.route.retryable() || row.runs + 1 >= row.route.maximumAttempts(),
                        UpstreamPlacement.isShort(row.call.inputTokens()),
                        choice.uncachedTokens(),
                        choice.predictedMillis(),
                        choice.ownTokens() + row.call.maximumOutputTokens()));
        if (row.patienceAtMillis < row.deadlineAtMillis) {
            schedule(row, row.patienceAtMillis);
        }
        Dispatch terms = terms(row, upstream, remaining);
        log.sent(row, terms, remaining);
        context.emit(
                new ForwardingOutput.Send(row.attempt, row.request, row.route.kind() == RequestKind.STREAM, terms));
    }

    private Dispatch terms(CallRow row, UpstreamState upstream, long remaining) {
        Long version = row.route.describesPrompt() ? upstream.weightVersions.get(row.call.model()) : null;
        return new Dispatch(
                upstream.id(),
                upstream.entry.address(),
                remaining,
                row.customer.map(CustomerEntry::id),
                version == null ? OptionalLong.empty() : OptionalLong.of(version),
                version == null ? "" : CacheSalt.of(row.customer, version),
                row.route.describesPrompt() ? OptionalInt.of(EnginePriority.of(row)) : OptionalInt.empty(),
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
        row.upstream.recordContact(context.now());
        switch (event) {
            case AttemptEvent.Answered answered -> takeAnswer(row, answered.head());
            case AttemptEvent.Started started -> takeStart(row, started);
            case AttemptEvent.Progressed progressed -> takeProgress(row, progressed.lastEvent());
            case AttemptEvent.Finished finished -> {
                upstreams.recordSuccess(row.upstream);
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
        if (row.route.describesPrompt() && head.weightsVersion().isPresent()) {
            row.upstream.recordWeightVersion(
                    row.call.model(), head.weightsVersion().getAsLong());
        }
    }

    private void takeAnswer(CallRow row, AttemptEvent.Head head) {
        observe(row, head);
        if (head.notExecuted()) {
            takeNotRun(row, head);
            return;
        }
        if (!head.verified()) {
            takeLoss(row, new AttemptEvent.Lost(true, true, "", "the answer is not this request's"));
            return;
        }
        leave(row);
        row.runs++;
        boolean failed = head.status() >= 500;
        row.excluded.add(row.upstream.id());
        boolean again = failed && row.mayRepeat() && budgets.mayRetry(row.service);
        if (again && selection.anyFor(row)) {
            log.failedByUpstream(row, head);
            row.upstream.observeOutcome(true);
            context.emit(new ForwardingOutput.Cancel(row.attempt));
            place(row);
            return;
        }
        if (failed) {
            row.upstream.observeOutcome(true);
        } else {
            upstreams.recordSuccess(row.upstream);
        }
        context.emit(new ForwardingOutput.Deliver(row.request, row.attempt));
        end(row, "Answered.", head.status());
    }

    private void takeStart(CallRow row, AttemptEvent.Started started) {
        observe(row, started.head());
        if (!started.head().verified()) {
            takeLoss(row, new AttemptEvent.Lost(true, true, "", "the stream is not this request's"));
            return;
        }
        UpstreamState.InFlightAttempt running = row.upstream.inFlight.get(row.attempt);
        if (running != null) {
            context.emit(new ForwardingOutput.Measure("first-event", context.now() - running.sentAtMillis));
            running.promptTokens = 0;
        }
        if (row.choice != null && row.route.describesPrompt()) {
            long capacity = known.memoryTokens(row.service);
            PromptChain chain = row.choice.chain();
            chain.shared().forEach(link -> peers.sharedParts().add(link.key()));
            peers.recordPrefilledParts(
                    row.upstream.id(), row.upstream.cache.recordPrefill(chain.shared(), capacity, context.now()));
        }
        upstreams.recordSuccess(row.upstream);
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
        log.notRun(row, head);
        context.emit(new ForwardingOutput.Cancel(row.attempt));
        if (head.status() == CallTiming.MISDIRECTED) {
            takeMisdirected(row, head);
        } else {
            row.excluded.add(row.upstream.id());
            row.upstream.overloadedUntilMillis = context.now() + CallTiming.FULL_MILLIS;
        }
        if (row.sends >= CallTiming.MOST_SENDS) {
            giveUp(row, ResultCode.NO_UPSTREAM, CallTiming.NO_UPSTREAM_RETRY_MILLIS, "upstreams do not run it");
        } else {
            place(row);
        }
    }

    /** An engine has other weights, or is another than expected; other engines may have changed too. */
    private void takeMisdirected(CallRow row, AttemptEvent.Head head) {
        boolean weightsTold =
                row.route.describesPrompt() && head.weightsVersion().isPresent();
        if (!weightsTold) {
            row.excluded.add(row.upstream.id());
        }
        if (row.route.describesPrompt()) {
            long newest = row.upstream.weightVersions.getOrDefault(row.call.model(), 0L);
            for (UpstreamState other : upstreams.activeUpstreams(row.service)) {
                if (other.weightVersions.getOrDefault(row.call.model(), 0L) < newest
                        || (!weightsTold && other == row.upstream)) {
                    probes.send(other);
                }
            }
        }
    }

    private void takeLoss(CallRow row, AttemptEvent.Lost lost) {
        boolean delivering = row.state == CallRow.State.DELIVERING;
        leave(row);
        log.lost(row, lost, delivering);
        boolean expected = lost.sent() && row.upstream.switching(context.now());
        if (!expected) {
            upstreams.recordFailure(row.upstream, lost.reason());
        }
        row.excluded.add(row.upstream.id());
        context.emit(new ForwardingOutput.Cancel(row.attempt));
        if (lost.sent()) {
            row.runs++;
        }
        if (lost.sent() && !expected) {
            crashes.lost(row.call.fingerprint(), row.upstream.incarnationId());
        } else if (!lost.sent()) {
            crashes.unreachable(row.upstream.incarnationId());
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
        } else if (again && budgets.mayRetry(row.service)) {
            row.waitUntilMillis = context.now() + CallTiming.RESUME_WAIT_MILLIS;
            place(row);
        } else {
            giveUp(row, ResultCode.OUTCOME_UNKNOWN, 0, "lost after it was sent");
        }
    }

    /** Takes the news that a caller closed its connection. */
    void callerLeft(RequestId request) {
        early.callerLeft(request);
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
        early.release(known.routing().isPresent()).forEach(call -> take(call.request(), call.call()));
        while (!due.isEmpty() && due.peek().atMillis() <= context.now()) {
            CallRow row = due.poll().row();
            if (row.state != CallRow.State.OVER) {
                row.nextLookAtMillis = Long.MAX_VALUE;
                look(row);
                scheduleNextLook(row);
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
            if (budgets.mayRetry(row.service) && selection.anyBeside(row)) {
                context.count("attempts.given-up");
                takeLoss(row, new AttemptEvent.Lost(true, true, "", "no progress"));
            }
        }
    }

    private void expire(CallRow row) {
        boolean onUpstream = row.state == CallRow.State.SENT || row.state == CallRow.State.DELIVERING;
        if (onUpstream) {
            if (row.upstream.millisWithoutResponse(context.now()) > CallTiming.SILENCE_MILLIS) {
                upstreams.recordFailure(row.upstream, "no answer in time");
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
        log.refused(row, told, retryAfterMillis, reason);
        boolean begun = !row.lastEvent.equals(row.call.resumeAfter()) || row.state == CallRow.State.DELIVERING;
        if (begun) {
            context.emit(new ForwardingOutput.AbortStream(row.request));
        } else {
            context.emit(new ForwardingOutput.Refuse(row.request, told, retryAfterMillis));
        }
        forget(row);
    }

    private void end(CallRow row, String sentence, int status) {
        log.ended(row, sentence, status);
        forget(row);
    }

    private void leave(CallRow row) {
        attempts.remove(row.attempt);
        UpstreamState.InFlightAttempt left = row.upstream.inFlight.remove(row.attempt);
        boolean last = left != null && left.nonResumable && row.upstream.ownNonResumableRequests() == 0;
        if (last && row.upstream.switching(context.now())) {
            peers.scheduleUpdate();
        }
    }

    private void forget(CallRow row) {
        row.state = CallRow.State.OVER;
        rows.remove(row.request);
        if (row.attempt != null) {
            leave(row);
        }
    }

    private void scheduleNextLook(CallRow row) {
        if (row.state != CallRow.State.OVER) {
            schedule(row, Math.max(context.now() + 1, Math.min(row.patienceAtMillis, row.deadlineAtMillis)));
        }
    }

    /** Has a request looked at; an earlier look that is already due covers a later one. */
    private void schedule(CallRow row, long atMillis) {
        if (atMillis < row.nextLookAtMillis) {
            row.nextLookAtMillis = atMillis;
            due.add(new Due(atMillis, row));
            context.wakeAt(atMillis);
        }
    }

    int open() {
        return rows.size() + early.open();
    }
}
