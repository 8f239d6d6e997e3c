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
 * Runs chat requests: from arrival over the queue and an engine, or several in turn, to the final answer.
 *
 * <p>Tokens reach the caller strictly by position. An attempt that breaks off, falls silent, skips a position or speaks
 * for another life or other weights is cancelled, and another engine goes on from the position reached.
 */
public final class ChatSystem {

    /** Attempts of one request that ran on an engine, at most. */
    private static final int MOST_ATTEMPTS = 6;

    /** How long a begun answer waits for an engine that can go on with it, in milliseconds. */
    private static final long RESUME_PATIENCE_MILLIS = 20_000;

    /** How long an answer of the cache directory is good for a request that waits, in milliseconds. */
    private static final long FRESH_MATCH_MILLIS = 250;

    /** The wait when retries are used up, in milliseconds. */
    private static final long RETRY_PAUSE_MILLIS = 250;

    /** When to come back if no engine can be reached, in milliseconds. */
    private static final long NO_UPSTREAM_RETRY_MILLIS = 1_000;

    private final RouterContext context;
    private final CustomerAccess access;
    private final DirectorySystem directory;
    private final EngineChooser chooser;
    private final UpstreamSystem upstreams;
    private final QuarantineSystem quarantine;
    private final Admission admission;
    private final ResumeToken resumeTokens;
    private final ChatIntake intake;
    private final Map<RequestId, ChatRow> rows = new LinkedHashMap<>();
    private final AttemptTable attempts = new AttemptTable();
    private final Map<CustomerId, RetryBudget> budgets = new HashMap<>();
    private long nextAttempt = 1;

    /**
     * Creates an empty table.
     *
     * @param context the router's context
     * @param access customers and what they may use
     * @param directory who holds which prefix
     * @param chooser chooses engines
     * @param upstreams the engines
     * @param quarantine requests that crash engines
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
        this.resumeTokens = new ResumeToken(context.settings().secret());
        this.intake = new ChatIntake(context, access, quarantine, resumeTokens);
    }

    /**
     * Takes a new request.
     *
     * @param request its id
     * @param apiKey the caller's key
     * @param call what it asks
     */
    public void submit(RequestId request, String apiKey, ChatCall call) {
        switch (intake.check(request, apiKey, call)) {
            case ChatIntake.Checked.Accepted accepted -> begin(accepted.row());
            case ChatIntake.Checked.Refused refused -> refuse(request, refused.code(), refused.detail());
        }
    }

    private void begin(ChatRow row) {
        rows.put(row.request, row);
        context.count("requests.chat");
        budget(row.customer).firstAttempt();
        directory.lookup(row.chain, row.call.traceparent(), matches -> lookedUp(row, matches));
    }

    private void lookedUp(ChatRow row, List<PeerMessage.PrefixMatch> matches) {
        if (row.state != ChatRow.State.LOOKING_UP) {
            return;
        }
        takeMatches(row, matches);
        row.state = ChatRow.State.WAITING;
        Intent.Customer customer = access.customer(row.customer).orElse(null);
        if (customer == null) {
            finish(row, new CallerAnswer.Refusal(ResultCode.UNAUTHORIZED, "", 0));
            return;
        }
        Optional<CallerAnswer.Refusal> refusal = admission.admit(row, customer);
        refusal.ifPresent(answer -> finish(row, answer));
    }

    private void takeMatches(ChatRow row, List<PeerMessage.PrefixMatch> matches) {
        row.matches = matches;
        row.matchedAtMillis = context.now();
        row.refreshing = false;
    }

    /** Asks the directory again for a request that has waited; returns false while the answer is not there. */
    private boolean knowsCachesOf(ChatRow row) {
        if (row.refreshing) {
            return false;
        }
        if (context.now() - row.matchedAtMillis > FRESH_MATCH_MILLIS) {
            row.refreshing = true;
            directory.lookup(row.chain, row.call.traceparent(), matches -> takeMatches(row, matches));
        }
        return !row.refreshing;
    }

    /** Starts waiting requests on engines with room, and ends attempts that fell silent. */
    public void run() {
        endSilentAttempts();
        admission.refuseHopeless(this::finish);
        admission.offer(this::tryStart);
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
        if (!knowsCachesOf(row)) {
            return false;
        }
        row.suspect = quarantine.isSuspect(row.fingerprint);
        Set<UpstreamId> excluded = new HashSet<>(row.excluded);
        if (row.suspect) {
            excluded.addAll(attempts.enginesOfOtherSuspects(row));
        }
        Optional<Candidate> choice = chooser.choose(row.model, row.chain, row.matches, excluded);
        if (choice.isEmpty()) {
            return giveUpWithoutEngine(row);
        }
        if (admission.comesTooLate(row, choice.get())) {
            finish(row, admission.overloaded(row));
            return true;
        }
        if (!admission.hasRoom(choice.get())) {
            return false;
        }
        if (!row.begun() && !access.mayUse(row.customer, row.model)) {
            finish(row, new CallerAnswer.Refusal(ResultCode.MODEL_NOT_ALLOWED, "Model: " + row.model + ".", 0));
            return true;
        }
        start(row, choice.get());
        return true;
    }

    private boolean giveUpWithoutEngine(ChatRow row) {
        boolean patient = row.begun() || row.suspect || row.attempts > 0;
        if (patient && context.now() < row.interruptedAtMillis + RESUME_PATIENCE_MILLIS) {
            row.excluded.clear();
            row.notBeforeMillis = context.now() + RETRY_PAUSE_MILLIS;
            return false;
        }
        ResultCode code = row.attempts > 0 ? ResultCode.UPSTREAM_FAILED : ResultCode.NO_UPSTREAM;
        finish(row, new CallerAnswer.Refusal(code, "Model: " + row.model + ".", NO_UPSTREAM_RETRY_MILLIS));
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
        row.prefillOver = false;
        row.lastHeardMillis = context.now();
        attempts.add(row);
        engine.dispatched(context.now(), row.uncachedTokens);
        admission.started(row);
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
     * Takes what an engine said about an attempt.
     *
     * @param attempt the attempt
     * @param event what it said
     */
    public void receiveEngineEvent(AttemptId attempt, EngineEvent event) {
        ChatRow row = attempts.get(attempt);
        if (row == null || row.state != ChatRow.State.RUNNING || !attempt.equals(row.attempt)) {
            context.count("streams.late-events");
            return;
        }
        switch (event) {
            case EngineEvent.Started started -> {
                if (accept(row, started.echo())) {
                    takeStart(row, started);
                }
            }
            case EngineEvent.Token token -> {
                if (accept(row, token.echo())) {
                    takeToken(row, token);
                }
            }
            case EngineEvent.Ended ended -> {
                if (accept(row, ended.echo())) {
                    takeEnd(row, ended);
                }
            }
            case EngineEvent.Refused refused -> takeRefusal(row, refused);
            case EngineEvent.Lost lost -> takeLoss(row, lost);
        }
    }

    private boolean accept(ChatRow row, EngineEcho echo) {
        boolean own = echo.request().equals(row.request) && echo.customer().equals(row.customer);
        if (!own) {
            context.count("streams.crossed-events");
            return false;
        }
        boolean sameWeights = echo.model().equals(row.model);
        boolean sameLife = row.engineIncarnation == 0 || echo.incarnation() == row.engineIncarnation;
        if (sameWeights && sameLife) {
            row.lastHeardMillis = context.now();
            return true;
        }
        context.count(sameWeights ? "streams.other-life" : "streams.other-weights");
        upstreams.seeIncarnation(row.engine, echo.incarnation());
        row.excluded.add(row.engine.id());
        cancelAttempt(row);
        waitAgain(row);
        return false;
    }

    private void takeStart(ChatRow row, EngineEvent.Started started) {
        row.engineIncarnation = started.echo().incarnation();
        upstreams.seeIncarnation(row.engine, row.engineIncarnation);
        row.engine.succeeded();
        prefillOver(row);
        row.cachedTokens = started.cachedTokens();
        context.count("tokens.prompt", started.promptTokens());
        context.count("tokens.cached", started.cachedTokens());
        long missed = Math.max(0, row.expectedCachedTokens - started.cachedTokens());
        context.count("tokens.expected-but-missed", missed);
        directory.recordExpectedPrefix(row.engine.id(), row.engineIncarnation, row.chain);
    }

    private void takeToken(ChatRow row, EngineEvent.Token token) {
        prefillOver(row);
        if (token.position() < row.nextPosition) {
            context.count("streams.repeated-tokens");
            return;
        }
        if (token.position() > row.nextPosition) {
            context.count("streams.gaps");
            goOnElsewhere(row);
            return;
        }
        row.nextPosition++;
        context.count("tokens.generated");
        String eventId = resumeTokens.write(row.fingerprint, row.model, row.nextPosition);
        context.emit(
                new Output.AnswerCaller(row.request, new CallerAnswer.Token(eventId, token.position(), token.text())));
    }

    private void takeEnd(ChatRow row, EngineEvent.Ended ended) {
        if (ended.count() != row.nextPosition) {
            context.count("streams.short-ends");
            goOnElsewhere(row);
            return;
        }
        quarantine.finished(row.fingerprint);
        finish(row, new CallerAnswer.End(ended.count(), row.cachedTokens));
    }

    private void takeRefusal(ChatRow row, EngineEvent.Refused refused) {
        context.count("attempts.refused-by-engine");
        leaveEngine(row);
        row.attempts--;
        row.notBeforeMillis = context.now() + Math.min(refused.retryAfterMillis(), RETRY_PAUSE_MILLIS);
        if (!refused.reason().equals("busy")) {
            row.excluded.add(row.engine.id());
            row.notBeforeMillis = 0;
        }
        if (refused.reason().equals("draining")) {
            upstreams.markLeaving(row.engine.id());
        }
        waitAgain(row);
    }

    private void takeLoss(ChatRow row, EngineEvent.Lost lost) {
        context.count("attempts.lost");
        upstreams.failed(row.engine);
        if (lost.connected()) {
            quarantine.crashed(row.engine.id(), row.engineIncarnation, attempts.fingerprintsOn(row.engine));
        }
        row.excluded.add(row.engine.id());
        leaveEngine(row);
        if (!row.begun() && !budget(row.customer).tryRetry()) {
            row.notBeforeMillis = context.now() + RETRY_PAUSE_MILLIS;
        }
        waitAgain(row);
    }

    private void goOnElsewhere(ChatRow row) {
        row.excluded.add(row.engine.id());
        cancelAttempt(row);
        waitAgain(row);
    }

    private void waitAgain(ChatRow row) {
        row.state = ChatRow.State.WAITING;
        row.interruptedAtMillis = context.now();
        if (row.attempts >= MOST_ATTEMPTS) {
            finish(row, new CallerAnswer.Refusal(ResultCode.UPSTREAM_FAILED, "", NO_UPSTREAM_RETRY_MILLIS));
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
        admission.enqueueFirst(row, customer);
    }

    /** Ends attempts whose engine has said nothing for long, such as one that is frozen. */
    private void endSilentAttempts() {
        for (ChatRow row : attempts.silent(context.now(), context.settings().engineIdleTimeoutMillis())) {
            context.count("attempts.silent");
            upstreams.failed(row.engine);
            goOnElsewhere(row);
        }
    }

    /**
     * Cancels the work of a caller that left.
     *
     * @param request the request
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
        forget(row);
    }

    /**
     * Returns the times to come back given since the last call, for the peers.
     *
     * @return reservations
     */
    public List<PeerMessage.RetryReservation> drainNewReservations() {
        return admission.reservations().takeNew();
    }

    /**
     * Takes the times to come back that a peer gave; their callers may come to this router.
     *
     * @param reservations the peer's reservations
     */
    public void receiveReservations(List<PeerMessage.RetryReservation> reservations) {
        reservations.forEach(admission.reservations()::receive);
    }

    /**
     * Returns the number of requests without a final answer.
     *
     * @return rows
     */
    public int openRequests() {
        return rows.size();
    }

    private void cancelAttempt(ChatRow row) {
        context.emit(new Output.CancelEngine(row.attempt, row.engine.id(), row.engine.address(), row.request));
        leaveEngine(row);
    }

    private void leaveEngine(ChatRow row) {
        attempts.remove(row.attempt);
        prefillOver(row);
        row.engine.streamOver();
    }

    private void prefillOver(ChatRow row) {
        if (!row.prefillOver) {
            row.prefillOver = true;
            row.engine.prefillOver(row.uncachedTokens);
        }
    }

    private void finish(ChatRow row, CallerAnswer answer) {
        if (row.state == ChatRow.State.RUNNING) {
            leaveEngine(row);
        }
        forget(row);
        if (answer instanceof CallerAnswer.Refusal refusal) {
            context.count("refusals." + refusal.code().number());
        }
        context.emit(new Output.AnswerCaller(row.request, answer));
    }

    private void forget(ChatRow row) {
        row.state = ChatRow.State.OVER;
        rows.remove(row.request);
    }

    private void refuse(RequestId request, ResultCode code, String detail) {
        context.count("refusals." + code.number());
        context.emit(new Output.AnswerCaller(request, new CallerAnswer.Refusal(code, detail, 0)));
    }

    private RetryBudget budget(CustomerId customer) {
        return budgets.computeIfAbsent(
                customer, key -> new RetryBudget(context.settings().retryRatio()));
    }
}
