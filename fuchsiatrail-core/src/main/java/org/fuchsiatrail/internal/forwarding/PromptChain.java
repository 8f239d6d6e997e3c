package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fuchsiatrail.forwarding.ForwardedCall;

/**
 * The parts of a prompt with the keys under which an engine's prefix cache finds them. A part is found only after all
 * parts before it, for the same model and salt.
 *
 * @param salt the salt under which they are cached
 * @param links the parts in order
 */
record PromptChain(String salt, List<Link> links) {

    /** The chain of a request that is placed without regard to cached parts. */
    static final PromptChain EMPTY = new PromptChain("", List.of());

    /**
     * A part of a prompt.
     *
     * @param key a hash of salt, model and part id; equal for equal parts of one model under one salt
     * @param tokens its length in tokens
     */
    record Link(long key, long tokens) {}

    static PromptChain of(String salt, ForwardedCall call) {
        List<Link> links = new ArrayList<>();
        for (ForwardedCall.PromptPart part : call.prompt()) {
            links.add(new Link(key(salt, call.model(), part.id()), part.tokens()));
        }
        return new PromptChain(salt, links);
    }

    /** Computes the key of a part for a model and a salt. */
    static long key(String salt, String model, String part) {
        return Hashing.xxh3_64().hashCharsToLong(salt + '\u0000' + model + '\u0000' + part);
    }

    /** The parts that other requests may share: all except the last. */
    List<Link> shared() {
        return links.isEmpty() ? links : links.subList(0, links.size() - 1);
    }

    long sharedTokens() {
        return shared().stream().mapToLong(Link::tokens).sum();
    }

    long tokens() {
        return links.stream().mapToLong(Link::tokens).sum();
    }

    /** Identifies the session by its last shared part; empty when the prompt has no shared parts. */
    String sessionKey() {
        List<Link> shared = shared();
        return shared.isEmpty() ? "" : Long.toHexString(shared.getLast().key());
    }
}
