package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.RequestedPause;
import org.fuchsiatrail.forwarding.UpstreamLoad;

/** A model engine of an {@link EngineFleet}. */
final class FleetEngine {

    static final int SLOTS = 64;

    final String id;
    final String softwareVersion;
    String failureDomain = "";
    boolean draining;
    boolean ended;
    /** Whether it answers nothing, neither on open connections nor by new ones. */
    boolean dark;

    long weightsVersion;
    OptionalDouble limit = OptionalDouble.empty();
    /** The pause for which it asks while it turns all requests away, in milliseconds; 0 while it accepts them. */
    long pauseMillis;

    boolean leaving;
    /** Until when it sends nothing, in milliseconds; it goes on with all its requests then. */
    long silentUntilMillis;
    /** Whether it turns all new requests away. */
    boolean refusing;
    /** How all new requests end that it runs, if not with an answer. */
    Optional<AttemptEvent> failure = Optional.empty();

    FleetEngine(String id, String softwareVersion, long weightsVersion) {
        this.id = id;
        this.softwareVersion = softwareVersion;
        this.weightsVersion = weightsVersion;
    }

    boolean isDown() {
        return ended || dark;
    }

    /** The head of an answer. */
    AttemptEvent.Head head() {
        return AttemptEvent.Head.builder(200)
                .verified(true)
                .load(Optional.of(new UpstreamLoad(1, 0, SLOTS)))
                .requestLimit(limit)
                .leaving(leaving)
                .build();
    }

    /** The end of a request for some weights that it turns away or fails, if it does. */
    Optional<AttemptEvent> rejection(OptionalLong requestedWeights) {
        if (requestedWeights.orElse(weightsVersion) != weightsVersion) {
            return Optional.of(new AttemptEvent.Answered(misdirectedHead()));
        }
        if (pauseMillis > 0) {
            return Optional.of(new AttemptEvent.Answered(pausingHead()));
        }
        return refusing ? Optional.of(new AttemptEvent.Answered(overloadedHead())) : failure;
    }

    /** The head of an answer to a request for other weights. */
    AttemptEvent.Head misdirectedHead() {
        return AttemptEvent.Head.builder(CallTiming.MISDIRECTED_STATUS)
                .verified(true)
                .notExecuted(true)
                .weightsVersion(OptionalLong.of(weightsVersion))
                .leaving(leaving)
                .build();
    }

    /** The head of an answer that turns a request away. */
    AttemptEvent.Head pausingHead() {
        return AttemptEvent.Head.builder(503)
                .notExecuted(true)
                .requestedPause(
                        Optional.of(new RequestedPause(Long.toString(pauseMillis), OptionalLong.of(pauseMillis))))
                .leaving(leaving)
                .build();
    }

    /** The head of an answer that turns a request away for want of a slot. */
    AttemptEvent.Head overloadedHead() {
        return AttemptEvent.Head.builder(503)
                .notExecuted(true)
                .load(Optional.of(new UpstreamLoad(SLOTS, SLOTS, SLOTS)))
                .leaving(leaving)
                .build();
    }

    /** The head of an answer to a request that failed. */
    static AttemptEvent.Head failureHead() {
        return AttemptEvent.Head.builder(500).verified(true).build();
    }
}
