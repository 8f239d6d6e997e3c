package org.fuchsiatrail.internal.streams;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EngineCall;
import org.fuchsiatrail.EngineEcho;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.access.CustomerAccess;
import org.fuchsiatrail.internal.directory.DirectorySystem;
import org.fuchsiatrail.internal.limits.RetryBudget;
import org.fuchsiatrail.internal.quarantine.QuarantineSystem;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.routing.Candidate;
import org.fuchsiatrail.internal.routing.EngineChooser;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;
import org.fuchsiatrail.internal.upstreams.UpstreamSystem;

/**
 * Runs chat requests from receipt to the final answer: the lookup of cached prefixes, the queue, and one or more
 * successive attempts on engines.
 *
 * <p>Tokens reach the caller strictly in order of position. An attempt that is lost, times out, skips a position, or
 * responds with another incarnation or model version is ended, and another engine resumes from the position that was
 * reached.
 */
public final class ChatSystem {

    /** The maximum number of attempts of one request; attempts that an engine refused do not count. */
    private static final int MAXIMUM_ATTEMPTS = 6;

    /** How long after its last interruption a request waits for a usable engine, in milliseconds. */
    private static final long RESUME_TIMEOUT_MILLIS = 20_000;

    /** How long the cache directory's matches for a queued request remain valid, in milliseconds. */
    private static final long MATCH_VALIDITY_MILLIS = 250;

    /**
     * The delay before the next attempt when the retry budget is used up or no engine is usable, and the maximum delay
     * after an engine's refusal, in milliseconds.
     */
    private static final long RETRY_DELAY_MILLIS = 250;

    /** The retry time sent to callers when no engine can serve a request, in milliseconds. */
    private static final long NO_UPSTREAM_RETRY_AFTER_MILLIS = 1_000;

    private final RouterContext context;
    private final CustomerAccess access;
    private final DirectorySystem directory;
    private final EngineChooser chooser;
    private final UpstreamSystem upstreams;
    private final QuarantineSystem quarantine;
    private final Admission admission;
    private final ResumeTokenCodec resumeTokens;
    private final ChatIntake intake;
    private final Map<RequestId, ChatRow> rows = new LinkedHashMap<>();
    private final AttemptTable attempts = new AttemptTable();
    private final Map<CustomerId, RetryBudget> retryBudgets = new HashMap<>();
    private long nextAttempt = 1;

    /**
     * Creates a chat system without requests.
     *
     * @param context the router's context
     * @param access the configured customers and their permissions
     * @param directory the directory of cached prefixes
     * @param chooser selects engines
     * @param upstreams the table of upstreams
     * @param quarantine the requests that are suspected of crashing engines
     */
    public ChatSystem(
            RouterContext context,
            CustomerAccess access,
            DirectorySystem directory,
            EngineChooser chooser,
            UpstreamSystem upstreams,
            QuarantineSystem quarantine) {
        this.context = context;
        this.access = access;
        this.directory = directory;
        this.chooser = chooser;
        this.upstreams = upstreams;
        this.quarantine = quarantine;
        this.admission = new Admission(context, chooser, upstreams);
        this.resumeTokens = new ResumeTokenCodec(context.settings().secret());
        this.intake = new ChatIntake(context, access, quarantine, resumeTokens);
    }

    /**
     * Submits a new request.
     *
     * @param request the request's id
     * @param apiKey the caller's API key
     * @param call the call
     */
    public void submit(RequestId request, String apiKey, ChatCall call) {
        switch (intake.check(request, apiKey, call)) {
            case ChatIntake.CheckResult.Accepted accepted -> startLookup(accepted.row());
            case ChatIntake.CheckResult.Refused refused -> refuse(request, refused.code(), refused.detail());
        }
    }

    private void startLookup(ChatRow row) {
        rows.put(row.request, row);
        context.count("requests.chat");
        retryBudget(row.customer).recordFirstAttempt();
        directory.lookup(row.chain, row.call.traceparent(), matches -> admitAfterLookup(row, matches));
    }

    private void admitAfterLookup(ChatRow row, List<PeerMessage.PrefixMatch> matches) {
        if (row.state != ChatRow.State.LOOKING_UP) {
            return;
        }
        applyMatches(row, matches);
        row.state = ChatRow.State.WAITING;
        Intent.Customer customer = access.customer(row.customer).orElse(null);
        if (customer == null) {
            finish(row, new CallerAnswer.Refusal(ResultCode.UNAUTHORIZED, "", 0));
            return;
        }
        Optional<CallerAnswer.Refusal> refusal = admission.admit(row, customer);
        refusal.ifPresent(answer -> finish(row, answer));
    }

    private void applyMatches(ChatRow row, List<PeerMessage.PrefixMatch> matches) {
        row.matches = matches;
        row.matchedAtMillis = context.now();
        row.refreshingMatches = false;
    }

    /** Returns whether the row's matches are still valid; outdated ones are looked up again, which may take time. */
    private boolean hasFreshMatches(ChatRow row) {
        if (row.refreshingMatches) {
            return false;
        }
        if (context.now() - row.matchedAtMillis > MATCH_VALIDITY_MILLIS) {
            row.refreshingMatches = true;
            directory.lookup(row.chain, row.call.traceparent(), matches -> applyMatches(row, matches));
        }
        return !row.refreshingMatches;
    }

    /** Aborts timed-out attempts, refuses expired requests, and starts queued requests on engines with capacity. */
    public void run() {
        abortTimedOutAttempts();
        admission.refuseExpired(this::finish);
        admission.startQueued(this::tryStart);
    }

    private boolean tryStart(ChatRow row) {
        if (row.state != ChatRow.State.WAITING) {
            return true;
        }
        if (context.now() < row.notBeforeMillis) {
            return false;
        }
        if (quarantine.isQuarantined(row.fingerprint)) {
            finish(row, new CallerAnswer.Refusal(ResultCode.QUARANTINED, "", 0));
            return true;
        }
        if (!hasFreshMatches(row)) {
            return false;
        }
        row.suspect = quarantine.isSuspect(row.fingerprint);
        Set<UpstreamId> excluded = new HashSet<>(row.excluded);
        if (row.suspect) {
            excluded.addAll(attempts.enginesOfOtherSuspects(row));
        }
        Optional<Candidate> choice = chooser.choose(row.model, row.chain, row.matches, excluded);
        if (choice.isEmpty()) {
            return waitOrRefuseWithoutEngine(row);
        }
        if (admission.missesFirstTokenDeadline(row, choice.get())) {
            finish(row, admission.overloadRefusal(row));
            return true;
        }
        if (!admission.hasCapacity(choice.get())) {
            return false;
        }
        if (!row.answerStarted() && !access.mayUse(row.customer, row.model)) {
            finish(row, new CallerAnswer.Refusal(ResultCode.MODEL_NOT_ALLOWED, "Model: " + row.model + ".", 0));
            return true;
        }
        start(row, choice.get());
        return true;
    }

    private boolean waitOrRefuseWithoutEngine(ChatRow row) {
        boolean mayWait = row.answerStarted() || row.suspect || row.attempts > 0;
        if (mayWait && context.now() < row.interruptedAtMillis + RESUME_TIMEOUT_MILLIS) {
            row.excluded.clear();
            row.notBeforeMillis = context.now() + RETRY_DELAY_MILLIS;
            return false;
        }
        ResultCode code = row.attempts > 0 ? ResultCode.UPSTREAM_FAILED : ResultCode.NO_UPSTREAM;
        finish(row, new CallerAnswer.Refusal(code, "Model: " + row.model + ".", NO_UPSTREAM_RETRY_AFTER_MILLIS));
        return true;
    }

    private void start(ChatRow row, Candidate choice) {
        UpstreamRow engine = choice.engine();
        row.state = ChatRow.State.RUNNING;
        row.engine = engine;
        row.engineIncarnation = engine.incarnation();
        row.attempt = new AttemptId(context.selfId() + "-" + context.settings().incarnation() + "-" + nextAttempt++);
        row.attempts++;
        row.expectedCachedTokens = choice.cachedTokens();
        row.uncachedTokens = choice.uncachedTokens();
        row.prefillFinished = false;
        row.lastContactMillis = context.now();
        attempts.add(row);
        engine.recordDispatch(context.now(), row.uncachedTokens);
        admission.recordStart(row);
        context.count("attempts.chat");
        directory.recordExpectedPrefix(engine.id(), engine.incarnation(), row.chain);
        context.emit(new Output.StartEngine(row.attempt, engine.id(), engine.address(), engineCall(row)));
    }

    private EngineCall engineCall(ChatRow row) {
        return new EngineCall(
                row.request,
                row.customer,
                row.model,
                row.call.adapter(),
                row.cacheSalt,
                row.engineIncarnation,
                row.call.prompt(),
                row.nextPosition,
                row.call.maximumTokens(),
                row.call.priority(),
                row.call.traceparent());
    }

    /**
     * Handles an engine's event; events of attempts that no longer run are dropped.
     *
     * @param attempt the attempt's id
     * @param event the event
     */
    public void receiveEngineEvent(AttemptId attempt, EngineEvent event) {
        ChatRow row = attempts.get(attempt);
        if (row == null || row.state != ChatRow.State.RUNNING || !attempt.equals(row.attempt)) {
            context.count("streams.late-events");
            return;
        }
        switch (event) {
            case EngineEvent.Started started -> {
                if (verifyEcho(row, started.echo())) {
                    handleStarted(row, started);
                }
            }
            case EngineEvent.Token token -> {
                if (verifyEcho(row, token.echo())) {
                    handleToken(row, token);
                }
            }
            case EngineEvent.Ended ended -> {
                if (verifyEcho(row, ended.echo())) {
                    handleEnded(row, ended);
                }
            }
            case EngineEvent.Refused refused -> {
                if (refused.request().equals(row.request)) {
                    handleRefused(row, refused);
                } else {
                    context.count("streams.crossed-events");
                }
            }
            case EngineEvent.Lost lost -> handleLost(row, lost);
        }
    }

    private boolean verifyEcho(ChatRow row, EngineEcho echo) {
        boolean sameRequest =
                echo.request().equals(row.request) && echo.customer().equals(row.customer);
        if (!sameRequest) {
            context.count("streams.crossed-events");
            return false;
        }
        boolean sameModelVersion = echo.model().equals(row.model);
        boolean sameIncarnation = row.engineIncarnation == 0 || echo.incarnation() == row.engineIncarnation;
        if (sameModelVersion && sameIncarnation) {
            row.lastContactMillis = context.now();
            return true;
        }
        // Counts attempts aborted because the engine reported another incarnation or another model version.
        context.count(sameModelVersion ? "streams.other-life" : "streams.other-weights");
        upstreams.updateIncarnation(row.engine, echo.incarnation());
        row.excluded.add(row.engine.id());
        cancelAttempt(row);
        requeue(row);
        return false;
    }

    private void handleStarted(ChatRow row, EngineEvent.Started started) {
        row.engineIncarnation = started.echo().incarnation();
        upstreams.updateIncarnation(row.engine, row.engineIncarnation);
        row.engine.recordSuccess();
        finishPrefill(row);
        row.cachedTokens = started.cachedTokens();
        context.count("tokens.prompt", started.promptTokens());
        context.count("tokens.cached", started.cachedTokens());
        long missed = Math.max(0, row.expectedCachedTokens - started.cachedTokens());
        context.count("tokens.expected-but-missed", missed);
        directory.recordExpectedPrefix(row.engine.id(), row.engineIncarnation, row.chain);
    }

    private void handleToken(ChatRow row, EngineEvent.Token token) {
        finishPrefill(row);
        if (token.position() < row.nextPosition) {
            context.count("streams.repeated-tokens");
            return;
        }
        if (token.position() > row.nextPosition) {
            context.count("streams.gaps");
            retryOnOtherEngine(row);
            return;
        }
        row.nextPosition++;
        context.count("tokens.generated");
        String eventId = resumeTokens.encode(row.fingerprint, row.model, row.nextPosition);
        context.emit(
                new Output.AnswerCaller(row.request, new CallerAnswer.Token(eventId, token.position(), token.text())));
    }

    private void handleEnded(ChatRow row, EngineEvent.Ended ended) {
        if (ended.count() != row.nextPosition) {
            context.count("streams.short-ends");
            retryOnOtherEngine(row);
            return;
        }
        quarantine.recordCompletion(row.fingerprint);
        finish(row, new CallerAnswer.End(ended.count(), row.cachedTokens));
    }

    private void handleRefused(ChatRow row, EngineEvent.Refused refused) {
        context.count("attempts.refused-by-engine");
        releaseEngine(row);
        row.attempts--;
        row.notBeforeMillis = context.now() + Math.min(refused.retryAfterMillis(), RETRY_DELAY_MILLIS);
        if (!refused.reason().equals("busy")) {
            row.excluded.add(row.engine.id());
            row.notBeforeMillis = 0;
        }
        if (refused.reason().equals("draining")) {
            upstreams.markLeaving(row.engine.id());
        }
        requeue(row);
    }

    private void handleLost(ChatRow row, EngineEvent.Lost lost) {
        context.count("attempts.lost");
        upstreams.recordFailure(row.engine);
        if (lost.connected()) {
            quarantine.recordCrash(row.engine.id(), row.engineIncarnation, attempts.fingerprintsOn(row.engine));
        }
        row.excluded.add(row.engine.id());
        releaseEngine(row);
        if (!row.answerStarted() && !retryBudget(row.customer).tryRetry()) {
            row.notBeforeMillis = context.now() + RETRY_DELAY_MILLIS;
        }
        requeue(row);
    }

    private void retryOnOtherEngine(ChatRow row) {
        row.excluded.add(row.engine.id());
        cancelAttempt(row);
        requeue(row);
    }

    private void requeue(ChatRow row) {
        row.state = ChatRow.State.WAITING;
        row.interruptedAtMillis = context.now();
        if (row.attempts >= MAXIMUM_ATTEMPTS) {
            finish(row, new CallerAnswer.Refusal(ResultCode.UPSTREAM_FAILED, "", NO_UPSTREAM_RETRY_AFTER_MILLIS));
            return;
        }
        if (row.excluded.size() >= upstreams.engines().size()) {
            row.excluded.clear();
        }
        Intent.Customer customer = access.customer(row.customer).orElse(null);
        if (customer == null) {
            finish(row, new CallerAnswer.Refusal(ResultCode.UNAUTHORIZED, "", 0));
            return;
        }
        admission.enqueueAtFront(row, customer);
    }

    /** Aborts attempts whose engine has not responded within the timeout, for example because it is frozen. */
    private void abortTimedOutAttempts() {
        for (ChatRow row : attempts.timedOut(context.now(), context.settings().engineIdleTimeoutMillis())) {
            // Counts attempts aborted by the engine idle timeout.
            context.count("attempts.silent");
            upstreams.recordFailure(row.engine);
            quarantine.recordCrash(row.engine.id(), row.engineIncarnation, List.of(row.fingerprint));
            retryOnOtherEngine(row);
        }
    }

    /**
     * Cancels the request of a caller that disconnected.
     *
     * @param request the request's id
     */
    public void callerDisconnected(RequestId request) {
        ChatRow row = rows.get(request);
        if (row == null) {
            return;
        }
        context.count("requests.abandoned");
        if (row.state == ChatRow.State.RUNNING) {
            cancelAttempt(row);
        }
        removeRow(row);
    }

    /**
     * Refuses a request that could not be admitted.
     *
     * @param request the request's id
     * @return false if it is no request without a final answer
     */
    public boolean fail(RequestId request) {
        ChatRow row = rows.get(request);
        if (row == null) {
            return false;
        }
        finish(row, new CallerAnswer.Refusal(ResultCode.NOT_HANDLED, "", NO_UPSTREAM_RETRY_AFTER_MILLIS));
        return true;
    }

    /**
     * Returns the retry reservations made since the last call and clears them.
     *
     * @return reservations to send to peers
     */
    public List<PeerMessage.RetryReservation> drainNewReservations() {
        return admission.reservations().drainUnsent();
    }

    /**
     * Records the retry reservations that a peer made, because their callers may retry at this router.
     *
     * @param reservations the peer's reservations
     */
    public void receiveReservations(List<PeerMessage.RetryReservation> reservations) {
        reservations.forEach(admission.reservations()::recordPeerReservation);
    }

    /**
     * Returns the number of requests without a final answer.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return rows.size();
    }

    private void cancelAttempt(ChatRow row) {
        context.emit(new Output.CancelEngine(row.attempt, row.engine.id(), row.engine.address(), row.request));
        releaseEngine(row);
    }

    private void releaseEngine(ChatRow row) {
        attempts.remove(row.attempt);
        finishPrefill(row);
        row.engine.recordStreamEnded();
    }

    private void finishPrefill(ChatRow row) {
        if (!row.prefillFinished) {
            row.prefillFinished = true;
            row.engine.recordPrefillFinished(row.uncachedTokens);
        }
    }

    private void finish(ChatRow row, CallerAnswer answer) {
        if (row.state == ChatRow.State.RUNNING) {
            releaseEngine(row);
        }
        removeRow(row);
        if (answer instanceof CallerAnswer.Refusal refusal) {
            context.count("refusals." + refusal.code().number());
        }
        context.emit(new Output.AnswerCaller(row.request, answer));
    }

    private void removeRow(ChatRow row) {
        row.state = ChatRow.State.FINISHED;
        rows.remove(row.request);
    }

    private void refuse(RequestId request, ResultCode code, String detail) {
        context.count("refusals." + code.number());
        context.emit(new Output.AnswerCaller(request, new CallerAnswer.Refusal(code, detail, 0)));
    }

    private RetryBudget retryBudget(CustomerId customer) {
        return retryBudgets.computeIfAbsent(
                customer, key -> new RetryBudget(context.settings().retryRatio()));
    }
}
