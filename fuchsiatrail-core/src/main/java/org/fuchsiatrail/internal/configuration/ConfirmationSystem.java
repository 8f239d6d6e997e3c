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
 * Plans and confirms intents.
 *
 * <p>A confirmation is a compare-and-swap on the revision that was planned against. A lost answer is settled by reading
 * the configuration back and looking for the plan id among its operations.
 */
public final class ConfirmationSystem {

    /** Attempts to settle a confirmation before the operator is told that the store does not answer. */
    private static final int ATTEMPTS = 4;

    private final RouterContext context;
    private final StoreCalls store;
    private final MembershipSystem membership;
    private final ConfigurationSystem configuration;
    private final List<Spreading> spreading = new ArrayList<>();

    /**
     * Creates the system.
     *
     * @param context the router's context
     * @param store the calls to the platform's store
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
        Confirmation again() {
            return new Confirmation(call, planId, baseRevision, intent, attempt + 1);
        }
    }

    private record Spreading(long call, long revision, long untilMillis) {}

    /**
     * Plans an intent.
     *
     * @param call the operator's question
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
     * Confirms a plan.
     *
     * @param call the operator's question
     * @param request the plan and its intent
     */
    public void confirm(long call, OperatorRequest.Confirm request) {
        List<String> faults = IntentValidator.faults(request.intent());
        if (!faults.isEmpty()) {
            refuse(call, ResultCode.INTENT_INVALID, faults);
            return;
        }
        if (configuration.current().operations().contains(request.planId())) {
            awaitSpread(call, configuration.current().revision());
            return;
        }
        long base = baseRevision(request.planId());
        if (base < 0 || !request.planId().equals(planId(base, request.intent()))) {
            refuse(call, ResultCode.PLAN_OUTDATED, List.of("The plan id does not belong to this intent. Plan again."));
            return;
        }
        readAndSwap(new Confirmation(call, request.planId(), base, request.intent(), 1));
    }

    private void readAndSwap(Confirmation confirmation) {
        store.call(new StoreRequest.Read(ConfigurationSystem.STORE_KEY), result -> {
            switch (result) {
                case StoreResult.Found found -> compare(confirmation, found);
                case StoreResult.Missing missing -> swap(confirmation, 0, ConfigurationDocument.none());
                default -> tryAgain(confirmation);
            }
        });
    }

    private void compare(Confirmation confirmation, StoreResult.Found found) {
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
            configuration.takeStored(found);
            awaitSpread(confirmation.call(), stored.revision());
        } else if (stored.revision() != confirmation.baseRevision()) {
            configuration.takeStored(found);
            refuse(
                    confirmation.call(),
                    ResultCode.PLAN_OUTDATED,
                    List.of(
                            "Planned against revision " + confirmation.baseRevision() + ", but revision "
                                    + stored.revision() + " is in force.",
                            "Plan the intent again and read what it changes."));
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
                            + ", but the store holds none. Plan again."));
            return;
        }
        ConfigurationDocument next = stored.next(confirmation.planId(), confirmation.intent());
        byte[] value = Documents.write(next);
        store.call(new StoreRequest.CompareAndSwap(ConfigurationSystem.STORE_KEY, version, value), result -> {
            if (result instanceof StoreResult.Swapped swapped) {
                configuration.takeStored(new StoreResult.Found(swapped.version(), value));
                awaitSpread(confirmation.call(), next.revision());
            } else {
                tryAgain(confirmation);
            }
        });
    }

    private void tryAgain(Confirmation confirmation) {
        if (confirmation.attempt() >= ATTEMPTS) {
            refuse(
                    confirmation.call(),
                    ResultCode.STORE_UNAVAILABLE,
                    List.of("Confirming the same plan again is safe: it takes effect at most once."));
            return;
        }
        readAndSwap(confirmation.again());
    }

    private void awaitSpread(long call, long revision) {
        spreading.add(
                new Spreading(call, revision, context.now() + context.settings().propagationTimeoutMillis()));
    }

    /** Answers confirmations that are in force everywhere, or whose wait is over. */
    public void run() {
        spreading.removeIf(this::answerWhenSpread);
    }

    private boolean answerWhenSpread(Spreading confirmed) {
        List<EntryVmId> inForce = new ArrayList<>();
        List<EntryVmId> lagging = new ArrayList<>();
        inForce.add(context.selfId());
        for (Member member : membership.members()) {
            boolean has = member.revision() >= confirmed.revision();
            (has ? inForce : lagging).add(member.vm().id());
        }
        if (!lagging.isEmpty() && context.now() < confirmed.untilMillis()) {
            return false;
        }
        OperatorAnswer answer = new OperatorAnswer.Confirmed(confirmed.revision(), inForce, lagging);
        context.emit(new Output.AnswerOperator(confirmed.call(), answer));
        return true;
    }

    private void refuse(long call, ResultCode code, List<String> details) {
        context.emit(new Output.AnswerOperator(call, new OperatorAnswer.Refused(code, details)));
    }

    private static String planId(long revision, Intent intent) {
        String digest = Digests.sha256(Documents.plain(intent));
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
