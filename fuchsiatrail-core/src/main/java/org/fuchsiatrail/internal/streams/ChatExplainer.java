package org.fuchsiatrail.internal.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.internal.access.CustomerAccess;
import org.fuchsiatrail.internal.directory.DirectorySystem;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.routing.Candidate;
import org.fuchsiatrail.internal.routing.EngineChooser;

/** Explains to operators which engines could run a request, and at what predicted cost. */
public final class ChatExplainer {

    private final RouterContext context;
    private final CustomerAccess access;
    private final DirectorySystem directory;
    private final EngineChooser chooser;

    /**
     * Creates an explainer.
     *
     * @param context the router's context
     * @param access the configured customers and their permissions
     * @param directory the directory of cached prefixes
     * @param chooser ranks the engines
     */
    public ChatExplainer(
            RouterContext context, CustomerAccess access, DirectorySystem directory, EngineChooser chooser) {
        this.context = context;
        this.access = access;
        this.directory = directory;
        this.chooser = chooser;
    }

    /**
     * Ranks the engines that could run a request.
     *
     * @param customer the customer
     * @param call the call
     * @return one line per candidate, cheapest first; other lines explain a refusal or a ranking without the directory
     */
    public List<String> explain(CustomerId customer, ChatCall call) {
        Optional<Intent.Customer> configured = access.customer(customer);
        if (configured.isEmpty()) {
            return List.of("Customer " + customer + " is not configured.");
        }
        Optional<ModelVersion> model = access.model(configured.get(), call.model(), call.adapter());
        if (model.isEmpty()) {
            return List.of("Customer " + customer + " may not use " + call.model() + ".");
        }
        PrefixChain chain = PrefixChain.of(
                ChatIntake.cacheSalt(context.settings().secret(), customer.value(), call, model.get()), call.prompt());
        List<String> lines = new ArrayList<>();
        directory.lookup(
                chain,
                call.traceparent(),
                matches -> chooser.rank(model.get(), chain, matches, Set.of())
                        .forEach(candidate -> lines.add(describe(candidate))));
        if (lines.isEmpty()) {
            lines.add("Another router owns this prompt's directory entry, or no engine may run it; ranked by load:");
            chooser.rank(model.get(), chain, List.of(), Set.of()).forEach(candidate -> lines.add(describe(candidate)));
        }
        return lines;
    }

    private static String describe(Candidate candidate) {
        return String.format(
                Locale.ROOT,
                "%s in %s: cost %.1f ms, first token in %d ms, queue %d ms, cached %d tokens, uncached %d tokens",
                candidate.engine().id(),
                candidate.engine().domain(),
                candidate.cost(),
                candidate.firstTokenMillis(),
                candidate.queueMillis(),
                candidate.cachedTokens(),
                candidate.uncachedTokens());
    }
}
