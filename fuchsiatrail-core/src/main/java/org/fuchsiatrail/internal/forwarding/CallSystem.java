package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.internal.limits.CustomerLimits;

/**
 * Forwards callers' requests to upstreams and passes the answers back.
 *
 * <p>A request has at most one attempt in flight. Once a byte of a non-retryable request may have been sent, it may go
 * to another upstream or be refused as not executed only if the upstream itself reported that it did not execute it.
 */
final class CallSystem {

    private final ForwardingContext context;
    private final StoreReplica storeReplica;
    private final UpstreamTable upstreams;
    private final CallIntake intake;
    private final UpstreamSelector selector;
    private final CallLog log;
    private final StartupCallQueue startupQueue;
    private final CallTiming timing = new CallTiming();
    private final RetryBudgets retryBudgets;
    private final CrashProtection crashProtection;
    private final PeerGossip gossip;
    private final StreamVersions streamVersions;
    private final StreamBindings bindings;
    private final RelayRouters relayRouters;
    private final AnswerHeads answerHeads;
    private final CallTable calls;
    private final CallTimers timers;
    private final AttemptSender sender;
    private final SilentStreams silentStreams;
    private final HeldAttempts heldAttempts;
    private final StreamStarts streamStarts;

    CallSystem(
            ForwardingContext context,
            StoreReplica storeReplica,
            UpstreamTable upstreams,
            RetryBudgets retryBudgets,
            CrashProtection crashProtection,
            RequestLimits requestLimits,
            CustomerLimits customerLimits,
            PeerGossip gossip,
            StreamVersions streamVersions,
            StreamBindings bindings,
            DarkSights darkSights) {
        this.context = context;
        this.storeReplica = storeReplica;
        this.upstreams = upstreams;
        this.retryBudgets = retryBudgets;
        this.crashProtection = crashProtection;
        this.gossip = gossip;
        this.streamVersions = streamVersions;
        this.bindings = bindings;
        this.relayRouters = new RelayRouters(context, storeReplica);
        this.answerHeads = new AnswerHeads(context, requestLimits, upstreams);
        this.calls = new CallTable(context);
        this.timers = new CallTimers(context);
        streamVersions.lookup().onResolution(pending -> timers.schedule(pending, context.now()));
        this.selector = new UpstreamSelector(context, storeReplica, upstreams, timing, requestLimits);
        this.log = new CallLog(context, storeReplica);
        this.intake = new CallIntake(context, storeReplica, customerLimits, log);
        this.sender = new AttemptSender(
                context, calls, timers, timing, selector.availability(), darkSights, crashProtection, log);
        this.silentStreams = new SilentStreams(
                context,
                upstreams,
                selector,
                relayRouters,
                retryBudgets,
                crashProtection,
                timing,
                log,
                calls,
                timers,
                darkSights);
        this.streamStarts = new StreamStarts(context, storeReplica, upstreams, gossip, bindings);
        this.heldAttempts = new HeldAttempts(context, upstreams, crashProtection, calls, timers, log);
        this.startupQueue = new StartupCallQueue(context);
    }

    /** Accepts, queues or refuses a new request. */
    void submit(RequestId request, ForwardedCall call) {
        context.count("requests");
        if (storeReplica.routing().isPresent() || !startupQueue.offer(request, call)) {
            admit(request, call);
        }
    }

    private void admit(RequestId request, ForwardedCall call) {
        switch (intake.admit(request, call)) {
            case CallIntake.Refused refused -> {
                log.refused(call, refused.code());
                context.emit(new ForwardingOutput.Refuse(request, refused.code(), refused.retryAfterMillis()));
            }
            case CallIntake.Accepted accepted -> {
                PendingCall pending = accepted.pending();
                pending.placementDeadlineMillis =
                        pending.receivedAtMillis + timing.placementTimeoutMillis(pending.route);
                calls.add(pending);
                retryBudgets.recordRequest(pending);
                timers.schedule(pending, pending.deadlineAtMillis);
                place(pending);
            }
        }
    }

    /** Sends a request to the best upstream, queues it until one is usable, or refuses it. */
    private void place(PendingCall pending) {
        long remainingMillis = pending.deadlineAtMillis - context.now();
        if (remainingMillis < CallTiming.MINIMUM_ATTEMPT_MILLIS) {
            handleDeadline(pending);
            return;
        }
        if (pending.isExhausted()) {
            refuseOrAbort(pending, ResultCode.OUTCOME_UNKNOWN, 0, "no attempt is left");
            return;
        }
        Optional<CrashProtection.Quarantine> quarantine = crashProtection.quarantine(pending);
        if (quarantine.isPresent()) {
            refuseOrAbort(
                    pending,
                    ResultCode.UPSTREAM_FAILED,
                    quarantine.get().millisLeft(),
                    quarantine.get().reason());
            return;
        }
        if (relayIfCutOff(pending, remainingMillis) || (pending.needsOrigin() && !bindToOrigin(pending))) {
            return;
        }
        bindings.assign(pending);
        Optional<UpstreamPlacement.Placement> placement =
                bindings.mustWait(pending) ? Optional.empty() : selector.select(pending);
        if (placement.isEmpty()) {
            waitOrRefuse(pending);
            return;
        }
        boolean firstAttempt = pending.sends == pending.unsentAttempts;
        if (firstAttempt
                && placement.get().predictedMillis() > timing.maximumPredictedMillis(pending, remainingMillis)) {
            double predictedMillis = placement.get().predictedMillis();
            long advisedRetryMillis = timing.overloadRetryMillis(pending.route, predictedMillis);
            refuseOrAbort(
                    pending, ResultCode.OVERLOADED, advisedRetryMillis, "predicted " + Math.round(predictedMillis));
            return;
        }
        if ((!firstAttempt || pending.mayHaveArrived) && !retryBudgets.tryRetry(pending.service)) {
            context.count("retries.over-budget");
            if (pending.streamBegun && context.now() < pending.placementDeadlineMillis) {
                awaitPlacement(pending);
                return;
            }
            refuseOrAbort(
                    pending, ResultCode.NO_UPSTREAM, CallTiming.EXHAUSTED_BUDGET_RETRY_MILLIS, "retry budget is spent");
            return;
        }
        pending.relayed = false;
        pending.executionsAtRisk = 1;
        sender.send(pending, placement.get(), remainingMillis);
    }

    /**
     * Relays a request through another router, or refuses a relayed one, if this router reaches no upstream; returns
     * whether it did.
     */
    private boolean relayIfCutOff(PendingCall pending, long remainingMillis) {
        boolean cutOff = pending.pathLost
                || (!pending.placeFound && selector.isCutOff(pending))
                || pending.unsentAttempts >= selector.unsentBeforeRelay(pending);
        pending.placeFound = false;
        if (!cutOff || pending.relayRefusals >= CallTiming.MAXIMUM_RELAY_REFUSALS) {
            return false;
        }
        if (pending.call.relayed()) {
            refuseOrAbort(
                    pending, ResultCode.WITHOUT_PATH, CallTiming.NO_UPSTREAM_RETRY_MILLIS, "no upstream is reachable");
            return true;
        }
        Optional<RelayRouters.Relay> relay = relayRouters.select(pending);
        if (relay.isEmpty() || !retryBudgets.tryRelay(pending)) {
            return false;
        }
        context.count("attempts.relayed");
        pending.relayed = true;
        pending.executionsAtRisk =
                relay.get().boundsAttempts() ? 1 : pending.maximumExecutions - pending.possibleExecutions;
        sender.send(pending, UpstreamPlacement.onRouter(relay.get().router()), remainingMillis);
        return true;
    }

    /** Binds a resumed stream to the software version that began it; returns whether that version is known. */
    private boolean bindToOrigin(PendingCall pending) {
        return switch (streamVersions.lookup().resolve(pending)) {
            case StreamOriginLookup.Resolved resolved -> {
                pending.streamVersion = Optional.of(resolved.softwareVersion());
                resolved.service().filter(pending.route::leadsTo).ifPresent(service -> pending.service = service);
                pending.placementDeadlineMillis = context.now() + timing.placementTimeoutMillis(pending.route);
                log.bound(pending, resolved.source());
                yield true;
            }
            case StreamOriginLookup.Awaiting awaiting -> {
                pending.state = PendingCall.State.WAITING;
                timers.schedule(pending, awaiting.untilMillis());
                yield false;
            }
            case StreamOriginLookup.Unresolved unresolved -> {
                refuseOrAbort(
                        pending,
                        ResultCode.STREAM_NOT_RESUMABLE,
                        CallTiming.NOT_RESUMABLE_RETRY_MILLIS,
                        unresolved.reason());
                yield false;
            }
        };
    }

    private void waitOrRefuse(PendingCall pending) {
        Optional<UpstreamAvailability.Unavailable> unavailable = selector.unavailable(pending);
        if (unavailable.isPresent()) {
            refuseOrAbort(
                    pending,
                    unavailable.get().code(),
                    unavailable.get().retryMillis(),
                    unavailable.get().reason());
            return;
        }
        if (context.now() < pending.placementDeadlineMillis) {
            awaitPlacement(pending);
            return;
        }
        refuseOrAbort(pending, ResultCode.NO_UPSTREAM, CallTiming.NO_UPSTREAM_RETRY_MILLIS, "no upstream is usable");
    }

    private void awaitPlacement(PendingCall pending) {
        pending.state = PendingCall.State.WAITING;
        timers.schedule(
                pending, Math.min(pending.placementDeadlineMillis, context.now() + CallTiming.PLACEMENT_RETRY_MILLIS));
    }

    /** Handles an event of an attempt. */
    void receiveAttemptEvent(AttemptId attempt, AttemptEvent event) {
        Optional<PendingCall> sent = calls.find(attempt);
        if (sent.isEmpty()) {
            context.count("attempts.late-events");
            crashProtection.recordLateEvent(attempt, event);
            heldAttempts.recordLateEvent(attempt, event);
            return;
        }
        PendingCall pending = sent.get();
        if (!attempt.equals(pending.attempt) && heldAttempts.handleEvent(pending, event)) {
            return;
        }
        pending.upstream.recordContact(context.now());
        crashProtection.recordEvent(pending, event);
        if (!(event instanceof AttemptEvent.Lost || event instanceof AttemptEvent.Mismatched)) {
            pending.upstream.lastAnswerAtMillis = context.now();
        }
        switch (event) {
            case AttemptEvent.Answered answered -> handleAnswer(pending, answered.head());
            case AttemptEvent.Started started -> handleStreamStart(pending, started);
            case AttemptEvent.Progressed progressed -> silentStreams.recordEvent(pending, progressed.lastEventId());
            case AttemptEvent.Finished finished -> {
                upstreams.recordSuccess(pending.upstream);
                crashProtection.recordCompletion(pending);
                finish(pending, "Stream completed.", 200);
            }
            case AttemptEvent.Mismatched mismatched -> {
                log.mismatched(pending, mismatched);
                handleLoss(pending, DeclaredLosses.MISMATCHED);
            }
            case AttemptEvent.Lost lost -> handleLoss(pending, lost);
        }
    }

    private void handleAnswer(PendingCall pending, AttemptEvent.Head head) {
        answerHeads.record(pending, head);
        if (pending.relayed && !head.verified()) {
            handleRefusalOfRouter(pending, head);
            return;
        }
        if (head.notExecuted()) {
            handleNotExecuted(pending, head);
            return;
        }
        if (!head.verified()) {
            handleLoss(pending, new AttemptEvent.Lost(true, true, "", "answer lacks a valid upstream signature"));
            return;
        }
        releaseAttempt(pending);
        pending.recordExecution();
        boolean failed = head.status() >= 500;
        boolean unusable = failed || pending.streamBegun;
        pending.excludedUpstreams.add(pending.answeredBy());
        boolean retry = unusable && pending.mayRetry() && retryBudgets.mayRetry(pending.service);
        if (retry && selector.hasCandidate(pending)) {
            log.failedByUpstream(pending, head);
            pending.previousOutcome = "server error";
            pending.upstream.recordOutcome(failed);
            context.emit(new ForwardingOutput.Cancel(pending.attempt));
            place(pending);
            return;
        }
        if (failed) {
            pending.upstream.recordOutcome(true);
        } else {
            upstreams.recordSuccess(pending.upstream);
            crashProtection.recordCompletion(pending);
        }
        if (pending.streamBegun) {
            context.emit(new ForwardingOutput.Cancel(pending.attempt));
            refuseOrAbort(
                    pending, ResultCode.OUTCOME_UNKNOWN, 0, "resumed stream was answered with status " + head.status());
            return;
        }
        context.emit(new ForwardingOutput.Deliver(pending.request, pending.attempt));
        finish(pending, "Answer delivered.", head.status());
    }

    /**
     * Tries another way if the router to which a request was relayed has no path either, is about to stop, or knows no
     * route or customer for a request that this router accepted; else delivers its refusal.
     */
    private void handleRefusalOfRouter(PendingCall pending, AttemptEvent.Head head) {
        switch (RouterRefusal.decide(head, pending.streamBegun, pending.mayHaveRun())) {
            case RouterRefusal.TryAnotherWay another -> {
                another.failure().ifPresent(reason -> upstreams.recordFailure(pending.upstream, reason));
                placeAfterRefusedRelay(pending, another.notSent());
            }
            case RouterRefusal.AttemptLost lost -> retryAfterLossAtRouter(pending, lost.upstream());
            case RouterRefusal.Lost lost -> handleLoss(pending, new AttemptEvent.Lost(true, true, "", lost.reason()));
            case RouterRefusal.OutcomeUnknown unknown -> {
                upstreams.recordSuccess(pending.upstream);
                context.emit(new ForwardingOutput.Cancel(pending.attempt));
                refuseOrAbort(
                        pending, ResultCode.OUTCOME_UNKNOWN, 0, "another router refused with status " + head.status());
            }
            case RouterRefusal.PassOn refusal -> {
                upstreams.recordSuccess(pending.upstream);
                if (refusal.notRun()) {
                    intake.giveBack(pending);
                }
                context.emit(new ForwardingOutput.Deliver(pending.request, pending.attempt));
                finish(pending, "Refusal of another router delivered.", head.status());
            }
        }
    }

    /** Counts the attempt that another router lost, and sends the request again if it may be. */
    private void retryAfterLossAtRouter(PendingCall pending, UpstreamId upstream) {
        releaseAttempt(pending);
        upstreams.recordSuccess(pending.upstream);
        log.lostAtRouter(pending, upstream);
        pending.recordLossAtRouter(upstream);
        context.emit(new ForwardingOutput.Cancel(pending.attempt));
        retryAfterLoss(pending, true);
    }

    /** Tries another way after a router refused a request that it has not run; a retry if it may have sent it. */
    private void placeAfterRefusedRelay(PendingCall pending, boolean notSent) {
        releaseAttempt(pending);
        pending.excludedUpstreams.add(pending.upstream.id());
        context.emit(new ForwardingOutput.Cancel(pending.attempt));
        pending.relayRefusals++;
        pending.sends--;
        pending.previousOutcome = "refused by another router";
        retryBudgets.recordRefusedRelay(pending, notSent);
        place(pending);
    }

    private void handleStreamStart(PendingCall pending, AttemptEvent.Started started) {
        answerHeads.record(pending, started.head());
        if (!started.head().verified()) {
            handleLoss(pending, new AttemptEvent.Lost(true, true, "", "stream lacks a valid upstream signature"));
            return;
        }
        heldAttempts.giveUp(pending);
        streamStarts.record(pending);
        pending.streamBegun = true;
        pending.state = PendingCall.State.DELIVERING;
        pending.firstEventAtMillis = context.now();
        context.emit(new ForwardingOutput.Deliver(pending.request, pending.attempt));
        silentStreams.recordEvent(pending, started.firstEventId());
    }

    private void handleNotExecuted(PendingCall pending, AttemptEvent.Head head) {
        releaseAttempt(pending);
        log.notExecuted(pending, head);
        pending.previousOutcome = "not executed";
        pending.mayHaveArrived = true;
        context.emit(new ForwardingOutput.Cancel(pending.attempt));
        if (head.status() == CallTiming.MISDIRECTED_STATUS) {
            answerHeads.recordMisdirected(pending, head);
        } else {
            pending.excludedUpstreams.add(pending.upstream.id());
            pending.upstream.overloadedUntilMillis = context.now() + CallTiming.OVERLOADED_MILLIS;
        }
        if (pending.sends >= CallTiming.MAXIMUM_SENDS) {
            refuseOrAbort(
                    pending,
                    ResultCode.NO_UPSTREAM,
                    CallTiming.NO_UPSTREAM_RETRY_MILLIS,
                    "attempt limit reached; the last upstream did not execute the request");
        } else {
            place(pending);
        }
    }

    private void handleLoss(PendingCall pending, AttemptEvent.Lost lost) {
        boolean shortSilence = silentStreams.isShortSilence(pending, lost);
        releaseAttempt(pending);
        log.lost(pending, lost, pending.state == PendingCall.State.DELIVERING);
        silentStreams.recordLoss(pending, lost, shortSilence);
        pending.previousOutcome = lost.sent() ? "lost: " + lost.reason() : "not sent: " + lost.reason();
        context.emit(new ForwardingOutput.Cancel(pending.attempt));
        if (lost.sent()) {
            pending.recordExecution();
            crashProtection.recordUnanswered(pending, lost == DeclaredLosses.NO_PROGRESS);
        } else {
            pending.unsentAttempts++;
            retryBudgets.recordUnsent(pending);
            crashProtection.recordEnded(pending.incarnation);
            silentStreams.recordUnsent(pending, lost);
        }
        pending.recordEventId(lost.lastEventId());
        retryAfterLoss(pending, lost.sent());
    }

    private void retryAfterLoss(PendingCall pending, boolean possiblyExecuted) {
        boolean retry = (!possiblyExecuted || pending.mayRetry()) && pending.sends < CallTiming.MAXIMUM_SENDS;
        if (retry && !pending.streamBegun) {
            pending.placementDeadlineMillis =
                    Math.max(pending.placementDeadlineMillis, context.now() + CallTiming.PLACEMENT_RETRY_MILLIS);
            place(pending);
        } else if (retry) {
            pending.placementDeadlineMillis = context.now() + CallTiming.RESUME_TIMEOUT_MILLIS;
            place(pending);
        } else {
            ResultCode code = pending.mayBeSentAgainByRouter() ? ResultCode.ATTEMPT_LOST : ResultCode.OUTCOME_UNKNOWN;
            refuseOrAbort(pending, code, 0, "attempt lost after sending; outcome unknown");
        }
    }

    /** Handles a caller that closed its connection. A sent attempt of a non-idempotent request is not cancelled. */
    void callerDisconnected(RequestId request) {
        startupQueue.discard(request);
        calls.find(request).ifPresent(this::endWithoutCaller);
    }

    private void endWithoutCaller(PendingCall pending) {
        // Counts requests whose caller disconnected before the answer was complete.
        context.count("requests.caller-left");
        bindings.recordInterrupted(pending);
        heldAttempts.giveUp(pending);
        if (calls.hasAttemptInFlight(pending)) {
            if (context.now() - pending.lastEventAtMillis >= timing.unresponsiveMillis(pending)) {
                upstreams.recordUnanswered(pending, timing.unresponsiveMillis(pending));
            }
            crashProtection.recordGivenUp(pending);
        } else {
            intake.giveBack(pending);
        }
        boolean keepAttempt =
                pending.route.kind() == RequestKind.NOT_IDEMPOTENT && pending.state == PendingCall.State.SENT;
        if (!keepAttempt && pending.attempt != null) {
            releaseAttempt(pending);
            context.emit(new ForwardingOutput.Cancel(pending.attempt));
        }
        finish(pending, "Caller disconnected before the answer was complete.", 0);
    }

    /**
     * Handles the end of an upstream incarnation that the store or a probe shows. Attempts in flight on it are not
     * cancelled: an upstream that leaves without draining still answers them.
     */
    void upstreamEnded(UpstreamId incarnation) {
        for (PendingCall pending : calls.sent()) {
            if (calls.hasAttemptInFlight(pending) && pending.incarnation.equals(incarnation)) {
                crashProtection.recordGivenUp(pending);
            }
            heldAttempts.upstreamEnded(pending, incarnation);
        }
        crashProtection.recordEnded(incarnation);
    }

    /** Processes queued requests and the timers that are due. */
    void run() {
        startupQueue
                .drain(storeReplica.routing().isPresent())
                .forEach(queued -> admit(queued.request(), queued.call()));
        for (Optional<PendingCall> due = timers.pollDue(); due.isPresent(); due = timers.pollDue()) {
            handleTimer(due.get());
            timers.scheduleNext(due.get());
        }
    }

    private void handleTimer(PendingCall pending) {
        if (context.now() >= pending.deadlineAtMillis) {
            handleDeadline(pending);
        } else if (pending.state == PendingCall.State.WAITING) {
            place(pending);
        } else if (context.now() >= pending.attemptTimeoutAtMillis && silentStreams.giveUp(pending)) {
            replaceSilentAttempt(pending);
        }
    }

    /** Sends a request again whose attempt shows no progress, or ends it; that of a begun stream is held meanwhile. */
    private void replaceSilentAttempt(PendingCall pending) {
        // Counts attempts that end because of the attempt timeout, the stream idle timeout or a dark upstream.
        context.count("attempts.given-up");
        if (!silentStreams.mayBeHeld(pending)) {
            handleLoss(pending, DeclaredLosses.NO_PROGRESS);
            return;
        }
        heldAttempts.hold(pending);
        pending.placementDeadlineMillis = context.now() + CallTiming.RESUME_TIMEOUT_MILLIS;
        place(pending);
    }

    private void handleDeadline(PendingCall pending) {
        if (context.now() < pending.deadlineAtMillis && heldAttempts.restore(pending, "too little time is left")) {
            return;
        }
        heldAttempts.giveUp(pending);
        if (calls.hasAttemptInFlight(pending)) {
            upstreams.recordUnanswered(pending, timing.unresponsiveMillis(pending));
            releaseAttempt(pending);
            crashProtection.recordGivenUp(pending);
            context.emit(new ForwardingOutput.Cancel(pending.attempt));
            pending.recordExecution();
        }
        refuseOrAbort(
                pending, pending.mayHaveRun() ? ResultCode.TIMED_OUT : ResultCode.NO_UPSTREAM, 0, "deadline expired");
    }

    /**
     * Ends a request with a refusal or, once part of its stream was passed on, by aborting the stream. A request that
     * may have been executed is never reported as not executed. A stream with a held attempt goes on with that.
     */
    private void refuseOrAbort(PendingCall pending, ResultCode code, long retryAfterMillis, String reason) {
        if (heldAttempts.restore(pending, reason)) {
            return;
        }
        ResultCode reportedCode = code.mayHaveRun() || !pending.mayHaveRun() ? code : ResultCode.OUTCOME_UNKNOWN;
        log.refused(pending, reportedCode, retryAfterMillis, reason);
        intake.giveBack(pending);
        retryBudgets.recordRefusal(pending, code);
        if (pending.streamBegun || pending.endsWithConnection(code)) {
            bindings.recordInterrupted(pending);
            context.emit(new ForwardingOutput.AbortStream(pending.request));
        } else {
            context.emit(new ForwardingOutput.Refuse(pending.request, reportedCode, retryAfterMillis));
        }
        close(pending);
    }

    private void finish(PendingCall pending, String message, int status) {
        log.ended(pending, message, status);
        close(pending);
    }

    private void releaseAttempt(PendingCall pending) {
        boolean lastNonResumable = calls.releaseAttempt(pending);
        if (lastNonResumable && pending.upstream.isSwitchingWeights(context.now())) {
            gossip.scheduleUpdate();
        }
    }

    private void close(PendingCall pending) {
        pending.state = PendingCall.State.FINISHED;
        calls.remove(pending);
        heldAttempts.close(pending);
        if (pending.attempt != null) {
            releaseAttempt(pending);
        }
    }

    /** Lists the streams of a service that are open here. */
    List<PeerMessage.StartedStreams> openStreams(String service) {
        return bindings.openStreams(calls.pending(), service);
    }

    int openRequests() {
        return calls.size() + startupQueue.queuedCalls();
    }
}
