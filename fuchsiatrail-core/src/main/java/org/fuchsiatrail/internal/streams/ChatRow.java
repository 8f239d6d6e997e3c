package org.fuchsiatrail.internal.streams;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;

/** A row of the chat table: one caller's request until its final answer. */
final class ChatRow {

    /** Where a request stands. */
    enum State {
        /** Waits for the cache directory. */
        LOOKING_UP,
        /** Waits for room on an engine. */
        WAITING,
        /** Runs on an engine. */
        RUNNING,
        /** Has its final answer. */
        OVER
    }

    final RequestId request;
    final CustomerId customer;
    final ChatCall call;
    final ModelVersion model;
    final String cacheSalt;
    final PrefixChain chain;
    final String fingerprint;
    final long arrivedMillis;
    final long firstTokenByMillis;
    final Set<UpstreamId> excluded = new HashSet<>();
    List<PeerMessage.PrefixMatch> matches = List.of();
    long matchedAtMillis;
    boolean refreshing;
    State state = State.LOOKING_UP;
    AttemptId attempt;
    UpstreamRow engine;
    long engineIncarnation;
    int attempts;
    int expectedCachedTokens;
    int uncachedTokens;
    boolean prefillOver;
    boolean suspect;
    boolean reserved;
    long nextPosition;
    int cachedTokens;
    long lastHeardMillis;
    long notBeforeMillis;
    long interruptedAtMillis;

    ChatRow(
            RequestId request,
            CustomerId customer,
            ChatCall call,
            ModelVersion model,
            String cacheSalt,
            PrefixChain chain,
            String fingerprint,
            long arrivedMillis) {
        this.request = request;
        this.customer = customer;
        this.call = call;
        this.model = model;
        this.cacheSalt = cacheSalt;
        this.chain = chain;
        this.fingerprint = fingerprint;
        this.arrivedMillis = arrivedMillis;
        this.firstTokenByMillis = arrivedMillis + call.deadlineMillis();
    }

    /** Tells whether the caller has seen a token, so that the answer must be completed. */
    boolean begun() {
        return nextPosition > 0 || !call.resumeToken().isEmpty();
    }
}
