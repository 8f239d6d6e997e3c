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

/** Authenticates chat requests, checks their permissions, and creates their rows. */
final class ChatIntake {

    private final RouterContext context;
    private final CustomerAccess access;
    private final QuarantineSystem quarantine;
    private final ResumeTokenCodec resumeTokens;

    ChatIntake(
            RouterContext context, CustomerAccess access, QuarantineSystem quarantine, ResumeTokenCodec resumeTokens) {
        this.context = context;
        this.access = access;
        this.quarantine = quarantine;
        this.resumeTokens = resumeTokens;
    }

    /** The result of the checks. */
    sealed interface CheckResult {

        /**
         * The request may run.
         *
         * @param row the request's row
         */
        record Accepted(ChatRow row) implements CheckResult {}

        /**
         * The request may not run.
         *
         * @param code the reason
         * @param detail an additional sentence, or an empty string
         */
        record Refused(ResultCode code, String detail) implements CheckResult {}
    }

    CheckResult check(RequestId request, String apiKey, ChatCall call) {
        Optional<Intent.Customer> customer = access.authenticate(apiKey);
        if (customer.isEmpty()) {
            return new CheckResult.Refused(ResultCode.UNAUTHORIZED, "");
        }
        if (!call.scope().isEmpty() && !access.mayShare(customer.get(), call.scope())) {
            return new CheckResult.Refused(ResultCode.SCOPE_NOT_ALLOWED, "Scope: " + call.scope() + ".");
        }
        String fingerprint = fingerprint(customer.get(), call);
        if (quarantine.isQuarantined(fingerprint)) {
            return new CheckResult.Refused(ResultCode.QUARANTINED, "");
        }
        if (call.resumeToken().isEmpty()) {
            return checkModel(request, customer.get(), call, fingerprint, call.model(), 0);
        }
        return resumeTokens
                .decode(fingerprint, call.resumeToken())
                .map(position -> checkModel(
                        request,
                        customer.get(),
                        call,
                        fingerprint,
                        position.model().toString(),
                        position.nextPosition()))
                .orElse(new CheckResult.Refused(ResultCode.RESUME_TOKEN_INVALID, ""));
    }

    private CheckResult checkModel(
            RequestId request,
            Intent.Customer customer,
            ChatCall call,
            String fingerprint,
            String modelName,
            long nextPosition) {
        Optional<ModelVersion> model = access.model(customer, modelName, call.adapter());
        if (model.isEmpty()) {
            return new CheckResult.Refused(ResultCode.MODEL_NOT_ALLOWED, "Model: " + modelName + ".");
        }
        String salt = cacheSalt(context.settings().secret(), customer.id(), call, model.get());
        PrefixChain chain = PrefixChain.of(salt, call.prompt());
        CustomerId id = new CustomerId(customer.id());
        ChatRow row = new ChatRow(request, id, call, model.get(), salt, chain, fingerprint, context.now());
        row.nextPosition = nextPosition;
        return new CheckResult.Accepted(row);
    }

    /**
     * Computes the salt of a prompt's cache keys, which separates the cache entries of different customers or cache
     * scopes, model versions and adapters.
     *
     * @param secret the secret that all routers share
     * @param customer the customer
     * @param call the call
     * @param model the model version that will run
     * @return the salt as hexadecimal digits
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
