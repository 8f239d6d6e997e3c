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

/** Tells operators where a request would go, and why. */
public final class ChatExplainer {

    private final RouterContext context;
    private final CustomerAccess access;
    private final DirectorySystem directory;
    private final EngineChooser chooser;

    /**
     * Creates an explainer.
     *
     * @param context the router's context
     * @param access customers and what they may use
     * @param directory who holds which prefix
     * @param chooser chooses engines
     */
    public ChatExplainer(
            RouterContext context, CustomerAccess access, DirectorySystem directory, EngineChooser chooser) {
        this.context = context;
        this.access = access;
        this.directory = directory;
        this.chooser = chooser;
    }

    /**
     * Tells where a request would go.
     *
     * @param customer the customer
     * @param call the call
     * @return one line a candidate, cheapest first
     */
    public List<String> explain(CustomerId customer, ChatCall call) {
        Optional<Intent.Customer> known = access.customer(customer);
        if (known.isEmpty()) {
            return List.of("Customer " + customer + " is not configured.");
        }
        Optional<ModelVersion> model = access.model(known.get(), call.model(), call.adapter());
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
            lines.add("The directory owner of this prompt is another router, or no engine may run it; by load alone:");
            chooser.rank(model.get(), chain, List.of(), Set.of()).forEach(candidate -> lines.add(describe(candidate)));
        }
        return lines;
    }

    private static String describe(Candidate candidate) {
        return String.format(
                Locale.ROOT,
                "%s in %s: cost %.1f ms, first token in %d ms, queue %d ms, cached %d tokens, to compute %d tokens",
                candidate.engine().id(),
                candidate.engine().domain(),
                candidate.cost(),
                candidate.firstTokenMillis(),
                candidate.queueMillis(),
                candidate.cachedTokens(),
                candidate.uncachedTokens());
    }
}
