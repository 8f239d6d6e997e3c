package org.fuchsiatrail.internal.services;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.ClaimOutcome;
import org.fuchsiatrail.ClaimVerdict;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.LedgerClaim;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.ServiceCall;
import org.fuchsiatrail.ServiceOutcome;
import org.fuchsiatrail.internal.access.CustomerAccess;
import org.fuchsiatrail.internal.ledger.LedgerSystem;
import org.fuchsiatrail.internal.limits.RetryBudget;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.Digests;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;
import org.fuchsiatrail.internal.upstreams.UpstreamSystem;

/**
 * Runs calls to services.
 *
 * <p>A call that is not idempotent is dispatched once, by the router to which the caller is connected, after the ledger
 * has granted its claim and the deadline has been checked again. As long as no attempt can have reached an upstream,
 * every refusal reports that the call was not executed; afterwards no refusal does.
 */
public final class ServiceSystem {

    /** The retry time sent to callers when the ledger or an upstream is unavailable, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** The retry time sent to callers that repeat a call while it is still running, in milliseconds. */
    private static final long RUNNING_RETRY_AFTER_MILLIS = 500;

    /** The maximum number of attempts of one call. */
    private static final int MAXIMUM_ATTEMPTS = 3;

    /** The maximum size of an answer body that the ledger records, in bytes; of longer ones only the status is kept. */
    private static final int MAXIMUM_RECORDED_BYTES = 8_192;

    private final RouterContext context;
    private final CustomerAccess access;
    private final UpstreamSystem upstreams;
    private final LedgerSystem ledger;
    private final Map<RequestId, ServiceRow> rows = new LinkedHashMap<>();
    private final Map<AttemptId, ServiceRow> attempts = new HashMap<>();
    private final Map<CustomerId, RetryBudget> retryBudgets = new HashMap<>();
    private long nextNumber = 1;

    /**
     * Creates a service system without calls.
     *
     * @param context the router's context
     * @param access the configured customers and services
     * @param upstreams the table of upstreams
     * @param ledger the ledger of calls that are not idempotent
     */
    public ServiceSystem(RouterContext context, CustomerAccess access, UpstreamSystem upstreams, LedgerSystem ledger) {
        this.context = context;
        this.access = access;
        this.upstreams = upstreams;
        this.ledger = ledger;
    }

    /**
     * Submits a new call.
     *
     * @param request the call's id
     * @param apiKey the caller's API key
     * @param call the call
     */
    public void submit(RequestId request, String apiKey, ServiceCall call) {
        Optional<Intent.Customer> customer = access.authenticate(apiKey);
        if (customer.isEmpty()) {
            refuse(request, ResultCode.UNAUTHORIZED, "", 0);
            return;
        }
        Optional<Intent.Service> service = access.service(call.service());
        if (service.isEmpty()) {
            refuse(request, ResultCode.SERVICE_UNKNOWN, "Service: " + call.service() + ".", 0);
            return;
        }
        boolean notIdempotent = CustomerAccess.isDeclaredNotIdempotent(service.get(), call.method(), call.path());
        if (notIdempotent && call.idempotencyKey().isEmpty()) {
            refuse(request, ResultCode.IDEMPOTENCY_KEY_MISSING, "", 0);
            return;
        }
        CustomerId id = new CustomerId(customer.get().id());
        boolean retryable = !notIdempotent && CustomerAccess.isIdempotentMethod(call.method());
        ServiceRow row = new ServiceRow(request, id, call, context.now() + call.deadlineMillis(), retryable);
        rows.put(request, row);
        context.count("requests.service");
        if (notIdempotent) {
            claim(row);
        } else {
            retryBudget(id).recordFirstAttempt();
            send(row);
        }
    }

    private void claim(ServiceRow row) {
        ServiceCall call = row.call;
        String claimId = context.selfId() + "-" + context.settings().incarnation() + "-" + nextNumber++;
        String entryKey = row.customer + "/" + call.service() + "/" + call.idempotencyKey();
        String digest = Digests.sha256(
                        call.method().getBytes(StandardCharsets.UTF_8),
                        call.path().getBytes(StandardCharsets.UTF_8),
                        call.body())
                .substring(0, 32);
        row.claim = new LedgerClaim(claimId, entryKey, digest, context.selfId(), row.deadlineAtMillis);
        ledger.claim(row.claim, call.traceparent(), verdict -> handleVerdict(row, verdict));
    }

    private void handleVerdict(ServiceRow row, ClaimVerdict verdict) {
        if (row.state != ServiceRow.State.CLAIMING) {
            return;
        }
        context.beginWorkOn(row.request);
        switch (verdict) {
            case ClaimVerdict.Granted granted -> dispatchClaimed(row);
            case ClaimVerdict.Running running ->
                finish(row, new CallerAnswer.Refusal(ResultCode.STILL_RUNNING, "", RUNNING_RETRY_AFTER_MILLIS));
            case ClaimVerdict.UnknownOutcome unknown ->
                finish(row, new CallerAnswer.Refusal(ResultCode.OUTCOME_UNKNOWN, "", 0));
            case ClaimVerdict.OtherCall other ->
                finish(row, new CallerAnswer.Refusal(ResultCode.IDEMPOTENCY_KEY_REUSED, "", 0));
            case ClaimVerdict.Recorded recorded -> {
                context.count("ledger.replayed-answers");
                finish(row, new CallerAnswer.Result(recorded.status(), recorded.contentType(), recorded.body(), true));
            }
            case ClaimVerdict.Undecided undecided -> {
                ledger.end(ClaimOutcome.released(row.claim));
                finish(
                        row,
                        new CallerAnswer.Refusal(
                                ResultCode.LEDGER_UNAVAILABLE, undecided.reason() + ".", RETRY_AFTER_MILLIS));
            }
        }
    }

    private void dispatchClaimed(ServiceRow row) {
        if (context.now() >= row.deadlineAtMillis) {
            ledger.end(ClaimOutcome.released(row.claim));
            finish(row, new CallerAnswer.Refusal(ResultCode.DEADLINE_PASSED, "", RETRY_AFTER_MILLIS));
            return;
        }
        send(row);
    }

    private void send(ServiceRow row) {
        Optional<UpstreamRow> upstream = chooseUpstream(row);
        if (upstream.isEmpty()) {
            refuseNotSent(row, ResultCode.NO_UPSTREAM, "Service: " + row.call.service() + ".");
            return;
        }
        row.state = ServiceRow.State.SENT;
        row.upstream = upstream.get();
        row.attempts++;
        row.attempt = new AttemptId(context.selfId() + "-" + context.settings().incarnation() + "-s" + nextNumber++);
        attempts.put(row.attempt, row);
        context.count("attempts.service");
        context.emit(new Output.CallService(
                row.attempt,
                row.upstream.id(),
                row.upstream.address(),
                row.request,
                row.customer,
                row.call,
                row.deadlineAtMillis));
    }

    private Optional<UpstreamRow> chooseUpstream(ServiceRow row) {
        List<UpstreamRow> local = new ArrayList<>();
        List<UpstreamRow> all = new ArrayList<>();
        for (UpstreamRow upstream : upstreams.rows()) {
            boolean serves = upstream.intent().kind() == Intent.UpstreamKind.SERVICE
                    && upstream.intent().serves().contains(row.call.service());
            boolean usable = !upstream.draining() && upstream.reachable(context.now());
            if (serves && usable && !row.excluded.contains(upstream.id())) {
                all.add(upstream);
                if (upstream.domain().equals(context.settings().self().failureDomain())) {
                    local.add(upstream);
                }
            }
        }
        List<UpstreamRow> candidates = local.isEmpty() ? all : local;
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(context.random().nextInt(candidates.size())));
    }

    /**
     * Handles the outcome of an attempt; outcomes of attempts that no longer run are dropped.
     *
     * @param attempt the attempt's id
     * @param outcome the outcome
     */
    public void receiveOutcome(AttemptId attempt, ServiceOutcome outcome) {
        ServiceRow row = attempts.remove(attempt);
        if (row == null || row.state != ServiceRow.State.SENT) {
            context.count("services.late-outcomes");
            return;
        }
        context.beginWorkOn(row.request);
        switch (outcome) {
            case ServiceOutcome.Answered answered -> handleAnswered(row, answered);
            case ServiceOutcome.NotSent notSent -> handleNotSent(row, notSent);
            case ServiceOutcome.Unknown unknown -> handleUnknownOutcome(row, unknown.reason());
        }
    }

    private void handleAnswered(ServiceRow row, ServiceOutcome.Answered answered) {
        if (!answered.request().equals(row.request)) {
            context.count("services.crossed-answers");
            handleUnknownOutcome(row, "the answer belonged to another request");
            return;
        }
        row.upstream.recordSuccess();
        if (row.claim != null) {
            boolean recordsBody = answered.body().length <= MAXIMUM_RECORDED_BYTES;
            byte[] recordedBody = recordsBody ? answered.body() : new byte[0];
            ledger.end(new ClaimOutcome(
                    row.claim.claimId(),
                    row.claim.entryKey(),
                    ClaimOutcome.Kind.ANSWERED,
                    answered.status(),
                    recordsBody ? answered.contentType() : "",
                    recordedBody));
        }
        finish(row, new CallerAnswer.Result(answered.status(), answered.contentType(), answered.body(), false));
    }

    private void handleNotSent(ServiceRow row, ServiceOutcome.NotSent notSent) {
        upstreams.recordFailure(row.upstream);
        row.excluded.add(row.upstream.id());
        boolean mayRetry = context.now() < row.deadlineAtMillis && row.attempts < MAXIMUM_ATTEMPTS;
        if (mayRetry
                && chooseUpstream(row).isPresent()
                && retryBudget(row.customer).tryRetry()) {
            send(row);
            return;
        }
        ResultCode code = context.now() >= row.deadlineAtMillis ? ResultCode.DEADLINE_PASSED : ResultCode.NO_UPSTREAM;
        refuseNotSent(row, code, notSent.reason() + ".");
    }

    private void handleUnknownOutcome(ServiceRow row, String reason) {
        row.mayHaveRun = true;
        upstreams.recordFailure(row.upstream);
        row.excluded.add(row.upstream.id());
        boolean mayRetry = context.now() < row.deadlineAtMillis && row.attempts < MAXIMUM_ATTEMPTS;
        if (row.retryable
                && mayRetry
                && chooseUpstream(row).isPresent()
                && retryBudget(row.customer).tryRetry()) {
            send(row);
            return;
        }
        if (row.claim != null) {
            ledger.end(ClaimOutcome.unknown(row.claim));
        }
        long retryAfterMillis = row.retryable ? RETRY_AFTER_MILLIS : 0;
        finish(row, new CallerAnswer.Refusal(ResultCode.OUTCOME_UNKNOWN, reason + ".", retryAfterMillis));
    }

    private void refuseNotSent(ServiceRow row, ResultCode code, String detail) {
        if (row.claim != null) {
            ledger.end(ClaimOutcome.released(row.claim));
        }
        ResultCode reportedCode = row.mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : code;
        finish(row, new CallerAnswer.Refusal(reportedCode, detail, RETRY_AFTER_MILLIS));
    }

    /**
     * Handles a disconnected caller: the claim of a call that was not dispatched is released, and other calls continue.
     *
     * @param request the call's id
     */
    public void callerDisconnected(RequestId request) {
        ServiceRow row = rows.get(request);
        if (row == null) {
            return;
        }
        row.callerDisconnected = true;
        if (row.state == ServiceRow.State.CLAIMING) {
            ledger.end(ClaimOutcome.released(row.claim));
            removeRow(row);
        }
    }

    /**
     * Answers a call that cannot be handled any further.
     *
     * @param request the call's id
     * @return false if it is no call without a final answer
     */
    public boolean fail(RequestId request) {
        ServiceRow row = rows.get(request);
        if (row == null) {
            return false;
        }
        attempts.remove(row.attempt);
        boolean mayHaveRun = row.mayHaveRun || row.attempts > 0;
        ResultCode code = mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : ResultCode.NOT_HANDLED;
        finish(row, new CallerAnswer.Refusal(code, "", mayHaveRun ? 0 : RETRY_AFTER_MILLIS));
        if (row.claim != null) {
            ledger.end(mayHaveRun ? ClaimOutcome.unknown(row.claim) : ClaimOutcome.released(row.claim));
        }
        return true;
    }

    /**
     * Records a verdict that arrived after this router stopped waiting for it. The verdict is ignored, because this
     * router has since taken the claim over from the preferred writer, or has ended it.
     *
     * @param claimId the id of the claim
     */
    public void handleLateVerdict(String claimId) {
        context.count("ledger.late-grants");
        context.log("ledger", "Late verdict on a claim ignored.", "claim", claimId);
    }

    /** Ends the attempts of calls whose deadline has passed without an answer. */
    public void run() {
        List<ServiceRow> expired = new ArrayList<>();
        for (ServiceRow row : attempts.values()) {
            if (row.state == ServiceRow.State.SENT && context.now() >= row.deadlineAtMillis) {
                expired.add(row);
            }
        }
        for (ServiceRow row : expired) {
            attempts.remove(row.attempt);
            handleUnknownOutcome(row, "no answer before the deadline");
        }
    }

    /**
     * Returns the number of calls without a final answer.
     *
     * @return the number of calls
     */
    public int openCalls() {
        return rows.size();
    }

    private void finish(ServiceRow row, CallerAnswer answer) {
        removeRow(row);
        if (answer instanceof CallerAnswer.Refusal refusal) {
            context.count("refusals." + refusal.code().number());
        }
        if (!row.callerDisconnected) {
            context.emit(new Output.AnswerCaller(row.request, answer));
        }
    }

    private void removeRow(ServiceRow row) {
        row.state = ServiceRow.State.FINISHED;
        rows.remove(row.request);
    }

    private void refuse(RequestId request, ResultCode code, String detail, long retryAfterMillis) {
        context.count("refusals." + code.number());
        context.emit(new Output.AnswerCaller(request, new CallerAnswer.Refusal(code, detail, retryAfterMillis)));
    }

    private RetryBudget retryBudget(CustomerId customer) {
        return retryBudgets.computeIfAbsent(
                customer, key -> new RetryBudget(context.settings().retryRatio()));
    }
}
