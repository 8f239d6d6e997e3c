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
import org.fuchsiatrail.ClaimEnd;
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
 * Runs calls to plain services.
 *
 * <p>A call that must not be repeated is dispatched by the router that holds its caller, once, after the ledger granted
 * its claim and the deadline was checked again. Before dispatch every refusal truthfully says that it did not run;
 * afterwards none does.
 */
public final class ServiceSystem {

    /** When to come back if the ledger or an upstream cannot be reached, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** When to ask again for the answer of a running call, in milliseconds. */
    private static final long RUNNING_RETRY_MILLIS = 500;

    /** Attempts to send one call, at most. */
    private static final int MOST_ATTEMPTS = 3;

    /** The longest answer that the ledger records whole, in bytes; a longer one is recorded by its status only. */
    private static final int LONGEST_RECORDED_BYTES = 8_192;

    private final RouterContext context;
    private final CustomerAccess access;
    private final UpstreamSystem upstreams;
    private final LedgerSystem ledger;
    private final Map<RequestId, ServiceRow> rows = new LinkedHashMap<>();
    private final Map<AttemptId, ServiceRow> attempts = new HashMap<>();
    private final Map<CustomerId, RetryBudget> budgets = new HashMap<>();
    private long nextNumber = 1;

    /**
     * Creates an empty table.
     *
     * @param context the router's context
     * @param access customers and services
     * @param upstreams the upstreams
     * @param ledger the ledger of calls that must not be repeated
     */
    public ServiceSystem(RouterContext context, CustomerAccess access, UpstreamSystem upstreams, LedgerSystem ledger) {
        this.context = context;
        this.access = access;
        this.upstreams = upstreams;
        this.ledger = ledger;
    }

    /**
     * Takes a new call.
     *
     * @param request its id
     * @param apiKey the caller's key
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
        boolean once = CustomerAccess.isDeclaredNotIdempotent(service.get(), call.method(), call.path());
        if (once && call.idempotencyKey().isEmpty()) {
            refuse(request, ResultCode.IDEMPOTENCY_KEY_MISSING, "", 0);
            return;
        }
        CustomerId id = new CustomerId(customer.get().id());
        boolean repeatable = !once && CustomerAccess.isIdempotentMethod(call.method());
        ServiceRow row = new ServiceRow(request, id, call, context.now() + call.deadlineMillis(), repeatable);
        rows.put(request, row);
        context.count("requests.service");
        if (once) {
            claim(row);
        } else {
            budget(id).firstAttempt();
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
        ledger.claim(row.claim, call.traceparent(), verdict -> decided(row, verdict));
    }

    private void decided(ServiceRow row, ClaimVerdict verdict) {
        if (row.state != ServiceRow.State.CLAIMING) {
            return;
        }
        switch (verdict) {
            case ClaimVerdict.Granted granted -> dispatchOnce(row);
            case ClaimVerdict.Running running ->
                finish(row, new CallerAnswer.Refusal(ResultCode.STILL_RUNNING, "", RUNNING_RETRY_MILLIS));
            case ClaimVerdict.UnknownOutcome unknown ->
                finish(row, new CallerAnswer.Refusal(ResultCode.OUTCOME_UNKNOWN, "", 0));
            case ClaimVerdict.OtherCall other ->
                finish(row, new CallerAnswer.Refusal(ResultCode.IDEMPOTENCY_KEY_REUSED, "", 0));
            case ClaimVerdict.Recorded recorded -> {
                context.count("ledger.replayed-answers");
                finish(row, new CallerAnswer.Result(recorded.status(), recorded.contentType(), recorded.body(), true));
            }
            case ClaimVerdict.Undecided undecided -> {
                ledger.end(ClaimEnd.released(row.claim));
                finish(
                        row,
                        new CallerAnswer.Refusal(
                                ResultCode.LEDGER_UNAVAILABLE, undecided.reason() + ".", RETRY_AFTER_MILLIS));
            }
        }
    }

    private void dispatchOnce(ServiceRow row) {
        if (context.now() >= row.deadlineAtMillis) {
            ledger.end(ClaimEnd.released(row.claim));
            finish(row, new CallerAnswer.Refusal(ResultCode.DEADLINE_PASSED, "", RETRY_AFTER_MILLIS));
            return;
        }
        send(row);
    }

    private void send(ServiceRow row) {
        Optional<UpstreamRow> upstream = choose(row);
        if (upstream.isEmpty()) {
            notRun(row, ResultCode.NO_UPSTREAM, "Service: " + row.call.service() + ".");
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

    private Optional<UpstreamRow> choose(ServiceRow row) {
        List<UpstreamRow> near = new ArrayList<>();
        List<UpstreamRow> all = new ArrayList<>();
        for (UpstreamRow upstream : upstreams.rows()) {
            boolean serves = upstream.intent().kind() == Intent.UpstreamKind.SERVICE
                    && upstream.intent().serves().contains(row.call.service());
            boolean usable = !upstream.draining() && upstream.reachable(context.now());
            if (serves && usable && !row.excluded.contains(upstream.id())) {
                all.add(upstream);
                if (upstream.domain().equals(context.settings().self().failureDomain())) {
                    near.add(upstream);
                }
            }
        }
        List<UpstreamRow> choices = near.isEmpty() ? all : near;
        return choices.isEmpty()
                ? Optional.empty()
                : Optional.of(choices.get(context.random().nextInt(choices.size())));
    }

    /**
     * Takes how an attempt ended.
     *
     * @param attempt the attempt
     * @param outcome how it ended
     */
    public void receiveOutcome(AttemptId attempt, ServiceOutcome outcome) {
        ServiceRow row = attempts.remove(attempt);
        if (row == null || row.state != ServiceRow.State.SENT) {
            context.count("services.late-outcomes");
            return;
        }
        switch (outcome) {
            case ServiceOutcome.Answered answered -> takeAnswer(row, answered);
            case ServiceOutcome.NotSent notSent -> takeNotSent(row, notSent);
            case ServiceOutcome.Unknown unknown -> takeUnknown(row, unknown.reason());
        }
    }

    private void takeAnswer(ServiceRow row, ServiceOutcome.Answered answered) {
        if (!answered.request().equals(row.request)) {
            context.count("services.crossed-answers");
            takeUnknown(row, "the answer belonged to another request");
            return;
        }
        row.upstream.succeeded();
        if (row.claim != null) {
            boolean whole = answered.body().length <= LONGEST_RECORDED_BYTES;
            byte[] recorded = whole ? answered.body() : new byte[0];
            ledger.end(new ClaimEnd(
                    row.claim.claimId(),
                    row.claim.entryKey(),
                    ClaimEnd.Kind.ANSWERED,
                    answered.status(),
                    whole ? answered.contentType() : "",
                    recorded));
        }
        finish(row, new CallerAnswer.Result(answered.status(), answered.contentType(), answered.body(), false));
    }

    private void takeNotSent(ServiceRow row, ServiceOutcome.NotSent notSent) {
        upstreams.failed(row.upstream);
        row.excluded.add(row.upstream.id());
        boolean timeLeft = context.now() < row.deadlineAtMillis && row.attempts < MOST_ATTEMPTS;
        if (timeLeft && choose(row).isPresent() && budget(row.customer).tryRetry()) {
            send(row);
            return;
        }
        ResultCode code = context.now() >= row.deadlineAtMillis ? ResultCode.DEADLINE_PASSED : ResultCode.NO_UPSTREAM;
        notRun(row, code, notSent.reason() + ".");
    }

    private void takeUnknown(ServiceRow row, String reason) {
        row.mayHaveRun = true;
        upstreams.failed(row.upstream);
        row.excluded.add(row.upstream.id());
        boolean timeLeft = context.now() < row.deadlineAtMillis && row.attempts < MOST_ATTEMPTS;
        if (row.repeatable
                && timeLeft
                && choose(row).isPresent()
                && budget(row.customer).tryRetry()) {
            send(row);
            return;
        }
        if (row.claim != null) {
            ledger.end(ClaimEnd.unknown(row.claim));
        }
        long retryAfter = row.repeatable ? RETRY_AFTER_MILLIS : 0;
        finish(row, new CallerAnswer.Refusal(ResultCode.OUTCOME_UNKNOWN, reason + ".", retryAfter));
    }

    private void notRun(ServiceRow row, ResultCode code, String detail) {
        if (row.claim != null) {
            ledger.end(ClaimEnd.released(row.claim));
        }
        ResultCode told = row.mayHaveRun ? ResultCode.OUTCOME_UNKNOWN : code;
        finish(row, new CallerAnswer.Refusal(told, detail, RETRY_AFTER_MILLIS));
    }

    /**
     * Takes the news that a caller left; a call that was not dispatched is released, others run to their end.
     *
     * @param request the request
     */
    public void callerDisconnected(RequestId request) {
        ServiceRow row = rows.get(request);
        if (row == null) {
            return;
        }
        row.callerGone = true;
        if (row.state == ServiceRow.State.CLAIMING) {
            ledger.end(ClaimEnd.released(row.claim));
            forget(row);
        }
    }

    /**
     * Releases a claim that was granted after this router had given it up.
     *
     * @param claimId the claim, which carries no row any more
     */
    public void handleLateGrant(String claimId) {
        context.count("ledger.late-grants");
        context.log("ledger", "Late grant left to expire.", "claim", claimId);
    }

    /** Ends calls whose time is up and whose upstream has not answered. */
    public void run() {
        List<ServiceRow> late = new ArrayList<>();
        for (ServiceRow row : attempts.values()) {
            if (row.state == ServiceRow.State.SENT && context.now() >= row.deadlineAtMillis) {
                late.add(row);
            }
        }
        for (ServiceRow row : late) {
            attempts.remove(row.attempt);
            takeUnknown(row, "no answer before the deadline");
        }
    }

    /**
     * Returns the number of calls without a final answer.
     *
     * @return rows
     */
    public int openCalls() {
        return rows.size();
    }

    private void finish(ServiceRow row, CallerAnswer answer) {
        forget(row);
        if (answer instanceof CallerAnswer.Refusal refusal) {
            context.count("refusals." + refusal.code().number());
        }
        if (!row.callerGone) {
            context.emit(new Output.AnswerCaller(row.request, answer));
        }
    }

    private void forget(ServiceRow row) {
        row.state = ServiceRow.State.OVER;
        rows.remove(row.request);
    }

    private void refuse(RequestId request, ResultCode code, String detail, long retryAfterMillis) {
        context.count("refusals." + code.number());
        context.emit(new Output.AnswerCaller(request, new CallerAnswer.Refusal(code, detail, retryAfterMillis)));
    }

    private RetryBudget budget(CustomerId customer) {
        return budgets.computeIfAbsent(
                customer, key -> new RetryBudget(context.settings().retryRatio()));
    }
}
