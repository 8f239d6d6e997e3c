package org.fuchsiatrail.internal.streams;

import java.util.Optional;

import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.internal.access.CustomerAccess;
import org.fuchsiatrail.internal.quarantine.QuarantineSystem;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.Digests;

/** Checks who sends a chat request and what it may use, and makes its row. */
final class ChatIntake {

    private final RouterContext context;
    private final CustomerAccess access;
    private final QuarantineSystem quarantine;
    private final ResumeToken resumeTokens;

    ChatIntake(RouterContext context, CustomerAccess access, QuarantineSystem quarantine, ResumeToken resumeTokens) {
        this.context = context;
        this.access = access;
        this.quarantine = quarantine;
        this.resumeTokens = resumeTokens;
    }

    /** What the checks gave. */
    sealed interface Checked {

        /**
         * The request may run.
         *
         * @param row its row
         */
        record Accepted(ChatRow row) implements Checked {}

        /**
         * The request may not run.
         *
         * @param code why
         * @param detail one sentence more
         */
        record Refused(ResultCode code, String detail) implements Checked {}
    }

    Checked check(RequestId request, String apiKey, ChatCall call) {
        Optional<Intent.Customer> customer = access.authenticate(apiKey);
        if (customer.isEmpty()) {
            return new Checked.Refused(ResultCode.UNAUTHORIZED, "");
        }
        if (!call.scope().isEmpty() && !access.mayShare(customer.get(), call.scope())) {
            return new Checked.Refused(ResultCode.SCOPE_NOT_ALLOWED, "Scope: " + call.scope() + ".");
        }
        String fingerprint = fingerprint(customer.get(), call);
        if (quarantine.isQuarantined(fingerprint)) {
            return new Checked.Refused(ResultCode.QUARANTINED, "");
        }
        if (call.resumeToken().isEmpty()) {
            return checkModel(request, customer.get(), call, fingerprint, call.model(), 0);
        }
        return resumeTokens
                .read(fingerprint, call.resumeToken())
                .map(position -> checkModel(
                        request,
                        customer.get(),
                        call,
                        fingerprint,
                        position.model().toString(),
                        position.next()))
                .orElse(new Checked.Refused(ResultCode.RESUME_TOKEN_INVALID, ""));
    }

    private Checked checkModel(
            RequestId request, Intent.Customer customer, ChatCall call, String fingerprint, String asked, long next) {
        Optional<ModelVersion> model = access.model(customer, asked, call.adapter());
        if (model.isEmpty()) {
            return new Checked.Refused(ResultCode.MODEL_NOT_ALLOWED, "Model: " + asked + ".");
        }
        String salt = cacheSalt(context.settings().secret(), customer.id(), call, model.get());
        PrefixChain chain = PrefixChain.of(salt, call.prompt());
        CustomerId id = new CustomerId(customer.id());
        ChatRow row = new ChatRow(request, id, call, model.get(), salt, chain, fingerprint, context.now());
        row.nextPosition = next;
        return new Checked.Accepted(row);
    }

    /**
     * Computes the seed of a prompt's cache keys.
     *
     * @param secret the routers' secret
     * @param customer the customer
     * @param call the call
     * @param model the model that will run
     * @return hexadecimal digits
     */
    static String cacheSalt(String secret, String customer, ChatCall call, ModelVersion model) {
        String owner = call.scope().isEmpty() ? "customer/" + customer : "scope/" + call.scope();
        return Digests.sha256(secret, owner, model.toString(), call.adapter()).substring(0, 32);
    }

    private static String fingerprint(Intent.Customer customer, ChatCall call) {
        String digest = Digests.sha256(
                customer.id(), call.adapter(), call.scope(), call.prompt(), Integer.toString(call.maximumTokens()));
        return customer.id() + "/" + digest.substring(0, 32);
    }
}
