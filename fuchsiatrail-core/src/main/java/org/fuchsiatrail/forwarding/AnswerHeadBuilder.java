package org.fuchsiatrail.forwarding;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.fuchsiatrail.UpstreamId;

/** Builds the head of an answer, {@link AttemptEvent.Head}. What is not set was not reported. */
public final class AnswerHeadBuilder {

    private final int status;
    private boolean verified;
    private boolean notExecuted;
    private Optional<UpstreamLoad> load = Optional.empty();
    private OptionalLong weightsVersion = OptionalLong.empty();
    private OptionalDouble requestLimit = OptionalDouble.empty();
    private Optional<RequestedPause> requestedPause = Optional.empty();
    private boolean leaving;
    private boolean withoutPath;
    private boolean notSent;
    private Optional<UpstreamId> ranAt = Optional.empty();
    private Optional<UpstreamId> lostAt = Optional.empty();

    AnswerHeadBuilder(int status) {
        this.status = status;
    }

    /**
     * Sets whether the response carries the upstream's signature.
     *
     * @param isVerified whether it does
     * @return this builder
     */
    public AnswerHeadBuilder verified(boolean isVerified) {
        verified = isVerified;
        return this;
    }

    /**
     * Sets whether the upstream reports that it did not execute the request.
     *
     * @param isNotExecuted whether it does
     * @return this builder
     */
    public AnswerHeadBuilder notExecuted(boolean isNotExecuted) {
        notExecuted = isNotExecuted;
        return this;
    }

    /**
     * Sets the load that the upstream reports.
     *
     * @param reportedLoad the load
     * @return this builder
     */
    public AnswerHeadBuilder load(Optional<UpstreamLoad> reportedLoad) {
        load = reportedLoad;
        return this;
    }

    /**
     * Sets the version of the weights that generate the answer.
     *
     * @param version the version
     * @return this builder
     */
    public AnswerHeadBuilder weightsVersion(OptionalLong version) {
        weightsVersion = version;
        return this;
    }

    /**
     * Sets the requests a second that the upstream accepts from all routers together.
     *
     * @param requestsPerSecond the limit
     * @return this builder
     */
    public AnswerHeadBuilder requestLimit(OptionalDouble requestsPerSecond) {
        requestLimit = requestsPerSecond;
        return this;
    }

    /**
     * Sets the time in which the upstream wants no further requests of this router.
     *
     * @param pause the requested pause
     * @return this builder
     */
    public AnswerHeadBuilder requestedPause(Optional<RequestedPause> pause) {
        requestedPause = pause;
        return this;
    }

    /**
     * Sets whether the upstream says that it is leaving.
     *
     * @param isLeaving whether it does
     * @return this builder
     */
    public AnswerHeadBuilder leaving(boolean isLeaving) {
        leaving = isLeaving;
        return this;
    }

    /**
     * Sets whether the request was relayed to a router that reaches no upstream either.
     *
     * @param isWithoutPath whether it was
     * @return this builder
     */
    public AnswerHeadBuilder withoutPath(boolean isWithoutPath) {
        withoutPath = isWithoutPath;
        return this;
    }

    /**
     * Sets whether the request was relayed to a router that sent it to no upstream.
     *
     * @param isNotSent whether it was
     * @return this builder
     */
    public AnswerHeadBuilder notSent(boolean isNotSent) {
        notSent = isNotSent;
        return this;
    }

    /**
     * Sets the upstream that answered a relayed request.
     *
     * @param upstream the upstream, or empty if the other router names none
     * @return this builder
     */
    public AnswerHeadBuilder ranAt(Optional<UpstreamId> upstream) {
        ranAt = upstream;
        return this;
    }

    /**
     * Sets the upstream at which a router lost its attempt of a relayed request.
     *
     * @param upstream the upstream, or empty if the router reports no lost attempt
     * @return this builder
     */
    public AnswerHeadBuilder lostAt(Optional<UpstreamId> upstream) {
        lostAt = upstream;
        return this;
    }

    /**
     * Builds the head.
     *
     * @return the head
     */
    public AttemptEvent.Head build() {
        return new AttemptEvent.Head(
                status,
                verified,
                notExecuted,
                load,
                weightsVersion,
                requestLimit,
                requestedPause,
                leaving,
                withoutPath,
                notSent,
                ranAt,
                lostAt);
    }
}
