package org.fuchsiatrail.internal.forwarding;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.UpstreamLoad;

/** A model engine of an {@link EngineFleet}. */
final class FleetEngine {

    static final int SLOTS = 64;

    final String id;
    final String softwareVersion;
    boolean draining;
    boolean ended;
    long weightsVersion;
    OptionalDouble limit = OptionalDouble.empty();

    FleetEngine(String id, String softwareVersion, long weightsVersion) {
        this.id = id;
        this.softwareVersion = softwareVersion;
        this.weightsVersion = weightsVersion;
    }

    /** The head of an answer. */
    AttemptEvent.Head head() {
        return new AttemptEvent.Head(
                200, true, false, Optional.of(new UpstreamLoad(1, 0, SLOTS)), OptionalLong.empty(), limit, false);
    }

    /** The head of an answer to a request for other weights. */
    AttemptEvent.Head misdirectedHead() {
        return new AttemptEvent.Head(
                CallTiming.MISDIRECTED_STATUS,
                true,
                true,
                Optional.empty(),
                OptionalLong.of(weightsVersion),
                OptionalDouble.empty(),
                false);
    }
}
