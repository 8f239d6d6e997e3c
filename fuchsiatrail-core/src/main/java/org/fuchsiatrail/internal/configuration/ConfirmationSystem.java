package org.fuchsiatrail.internal.configuration;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.internal.membership.Member;
import org.fuchsiatrail.internal.membership.MembershipSystem;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.Digests;
import org.fuchsiatrail.internal.store.Documents;
import org.fuchsiatrail.internal.store.StoreCalls;

/**
 * Plans and confirms intents of operators.
 *
 * <p>A confirmation is a compare-and-swap on the revision that the plan was based on. When the response is lost, the
 * configuration is read back: the confirmation took effect if its plan id is among the operations.
 */
public final class ConfirmationSystem {

    /** The maximum number of attempts at a confirmation before the operator gets STORE_UNAVAILABLE. */
    private static final int MAXIMUM_ATTEMPTS = 4;

    private final RouterContext context;
    private final StoreCalls store;
    private final MembershipSystem membership;
    private final ConfigurationSystem configuration;
    private final List<Propagation> propagations = new ArrayList<>();

    /**
     * Creates the system.
     *
     * @param context the router's context
     * @param store the client of the platform's store
     * @param membership the peers
     * @param configuration the configuration in force
     */
    public ConfirmationSystem(
            RouterContext context, StoreCalls store, MembershipSystem membership, ConfigurationSystem configuration) {
        this.context = context;
        this.store = store;
        this.membership = membership;
        this.configuration = configuration;
    }

    private record Confirmation(long call, String planId, long baseRevision, Intent intent, int attempt) {
        Confirmation nextAttempt() {
            return new Confirmation(call, planId, baseRevision, intent, attempt + 1);
        }
    }

    private record Propagation(long call, long revision, long deadlineMillis) {}

    /**
     * Plans an intent and answers with its effects.
     *
     * @param call the number of the operator's call
     * @param request the intent
     */
    public void plan(long call, OperatorRequest.Plan request) {
        List<String> faults = IntentValidator.faults(request.intent());
        if (!faults.isEmpty()) {
            refuse(call, ResultCode.INTENT_INVALID, faults);
            return;
        }
        ConfigurationDocument current = configuration.current();
        String planId = planId(current.revision(), request.intent());
        List<String> effects = IntentComparison.effects(current.intent(), request.intent());
        context.emit(new Output.AnswerOperator(call, new OperatorAnswer.Planned(planId, current.revision(), effects)));
    }

    /**
     * Confirms a plan and answers when the configuration has propagated.
     *
     * @param call the number of the operator's call
     * @param request the plan id and the intent
     */
    public void confirm(long call, OperatorRequest.Confirm request) {
        List<String> faults = IntentValidator.faults(request.intent());
        if (!faults.isEmpty()) {
            refuse(call, ResultCode.INTENT_INVALID, faults);
            return;
        }
        if (configuration.current().operations().contains(request.planId())) {
            awaitPropagation(call, configuration.current().revision());
            return;
        }
        long base = baseRevision(request.planId());
        if (base < 0 || !request.planId().equals(planId(base, request.intent()))) {
            refuse(
                    call,
                    ResultCode.PLAN_OUTDATED,
                    List.of("The plan id does not match the intent. Plan the intent again."));
            return;
        }
        readAndSwap(new Confirmation(call, request.planId(), base, request.intent(), 1));
    }

    private void readAndSwap(Confirmation confirmation) {
        store.call(new StoreRequest.Read(ConfigurationSystem.STORE_KEY), result -> {
            switch (result) {
                case StoreResult.Found found -> compareRevision(confirmation, found);
                case StoreResult.Missing missing -> swap(confirmation, 0, ConfigurationDocument.none());
                default -> retry(confirmation);
            }
        });
    }

    private void compareRevision(Confirmation confirmation, StoreResult.Found found) {
        ConfigurationDocument stored;
        try {
            stored = Documents.read(found.value(), ConfigurationDocument.class);
        } catch (UncheckedIOException e) {
            refuse(
                    confirmation.call(),
                    ResultCode.STORE_UNAVAILABLE,
                    List.of("The stored configuration is damaged: " + e.getMessage()));
            return;
        }
        if (stored.operations().contains(confirmation.planId())) {
            configuration.applyStored(found);
            awaitPropagation(confirmation.call(), stored.revision());
        } else if (stored.revision() != confirmation.baseRevision()) {
            configuration.applyStored(found);
            refuse(
                    confirmation.call(),
                    ResultCode.PLAN_OUTDATED,
                    List.of(
                            "Planned against revision " + confirmation.baseRevision() + ", but revision "
                                    + stored.revision() + " is in force.",
                            "Plan the intent again and review its effects."));
        } else {
            swap(confirmation, found.version(), stored);
        }
    }

    private void swap(Confirmation confirmation, long version, ConfigurationDocument stored) {
        if (stored.revision() != confirmation.baseRevision()) {
            refuse(
                    confirmation.call(),
                    ResultCode.PLAN_OUTDATED,
                    List.of("Planned against revision " + confirmation.baseRevision()
                            + ", but the store contains no configuration. Plan the intent again."));
            return;
        }
        ConfigurationDocument next = stored.next(confirmation.planId(), confirmation.intent());
        byte[] value = Documents.write(next);
        store.call(new StoreRequest.CompareAndSwap(ConfigurationSystem.STORE_KEY, version, value), result -> {
            if (result instanceof StoreResult.Swapped swapped) {
                configuration.applyStored(new StoreResult.Found(swapped.version(), value));
                awaitPropagation(confirmation.call(), next.revision());
            } else {
                retry(confirmation);
            }
        });
    }

    private void retry(Confirmation confirmation) {
        if (confirmation.attempt() >= MAXIMUM_ATTEMPTS) {
            refuse(
                    confirmation.call(),
                    ResultCode.STORE_UNAVAILABLE,
                    List.of("Confirming the same plan again is safe: it takes effect at most once."));
            return;
        }
        readAndSwap(confirmation.nextAttempt());
    }

    private void awaitPropagation(long call, long revision) {
        propagations.add(new Propagation(
                call, revision, context.now() + context.settings().propagationTimeoutMillis()));
    }

    /** Answers confirmations that are in force at all peers, or whose propagation timeout has elapsed. */
    public void run() {
        propagations.removeIf(this::answerWhenPropagated);
    }

    private boolean answerWhenPropagated(Propagation propagation) {
        List<EntryVmId> inForce = new ArrayList<>();
        List<EntryVmId> lagging = new ArrayList<>();
        inForce.add(context.selfId());
        for (Member member : membership.members()) {
            boolean upToDate = member.revision() >= propagation.revision();
            (upToDate ? inForce : lagging).add(member.vm().id());
        }
        if (!lagging.isEmpty() && context.now() < propagation.deadlineMillis()) {
            return false;
        }
        OperatorAnswer answer = new OperatorAnswer.Confirmed(propagation.revision(), inForce, lagging);
        context.emit(new Output.AnswerOperator(propagation.call(), answer));
        return true;
    }

    private void refuse(long call, ResultCode code, List<String> details) {
        context.emit(new Output.AnswerOperator(call, new OperatorAnswer.Refused(code, details)));
    }

    private static String planId(long revision, Intent intent) {
        String digest = Digests.sha256(Documents.canonicalJson(intent));
        return revision + "-" + digest.substring(0, 24);
    }

    private static long baseRevision(String planId) {
        int separator = planId.indexOf('-');
        try {
            return separator <= 0 ? -1 : Long.parseLong(planId.substring(0, separator));
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
