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

/** A row of the chat table: the state of one request until its final answer. */
final class ChatRow {

    /** The processing state of a request. */
    enum State {
        /** Waiting for the response of the cache directory. */
        LOOKING_UP,
        /** Queued until an engine has capacity. */
        WAITING,
        /** Running on an engine. */
        RUNNING,
        /** Answered, refused, or cancelled because the caller disconnected. */
        FINISHED
    }

    final RequestId request;
    final CustomerId customer;
    final ChatCall call;
    final ModelVersion model;
    final String cacheSalt;
    final PrefixChain chain;
    final String fingerprint;
    final long receivedAtMillis;
    final long firstTokenDeadlineMillis;
    final Set<UpstreamId> excluded = new HashSet<>();
    List<PeerMessage.PrefixMatch> matches = List.of();
    long matchedAtMillis;
    boolean refreshingMatches;
    State state = State.LOOKING_UP;
    AttemptId attempt;
    UpstreamRow engine;
    long engineIncarnation;
    int attempts;
    int expectedCachedTokens;
    int uncachedTokens;
    boolean prefillFinished;
    boolean suspect;
    boolean hasReservation;
    long nextPosition;
    int cachedTokens;
    long lastContactMillis;
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
            long receivedAtMillis) {
        this.request = request;
        this.customer = customer;
        this.call = call;
        this.model = model;
        this.cacheSalt = cacheSalt;
        this.chain = chain;
        this.fingerprint = fingerprint;
        this.receivedAtMillis = receivedAtMillis;
        this.firstTokenDeadlineMillis = receivedAtMillis + call.deadlineMillis();
    }

    /** Returns whether the caller has received a token, so that the answer must be completed. */
    boolean answerStarted() {
        return nextPosition > 0 || !call.resumeToken().isEmpty();
    }
}
