package org.fuchsiatrail.forwarding;

import java.util.Objects;

import org.fuchsiatrail.EntryVm;

/** The settings of a forwarding core. */
public final class ForwardingSettings {

    private final EntryVm self;
    private final String callerAddress;
    private final long seed;
    private final double retryRatio;
    private final double retryReserve;
    private final long retryWindowMillis;
    private final long orderLeaseMillis;
    private final long replacedWeightsGraceMillis;
    private final long stopGraceMillis;
    private final boolean leavesDomainByGain;
    private final double leavesDomainPerSecond;
    private final boolean tellsDarkUpstreams;
    private final LimitTolerance limitTolerance;

    private ForwardingSettings(Builder builder) {
        self = Objects.requireNonNull(builder.self, "self");
        callerAddress = builder.callerAddress;
        seed = builder.seed;
        retryRatio = builder.retryRatio;
        retryReserve = builder.retryReserve;
        retryWindowMillis = builder.retryWindowMillis;
        orderLeaseMillis = builder.orderLeaseMillis;
        replacedWeightsGraceMillis = builder.replacedWeightsGraceMillis;
        stopGraceMillis = builder.stopGraceMillis;
        leavesDomainByGain = builder.leavesDomainByGain;
        leavesDomainPerSecond = builder.leavesDomainPerSecond;
        tellsDarkUpstreams = builder.tellsDarkUpstreams;
        limitTolerance = builder.limitTolerance;
    }

    /**
     * Returns a new builder.
     *
     * @return a builder with defaults; {@link Builder#self} must be called
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns this router's entry VM.
     *
     * @return the VM
     */
    public EntryVm self() {
        return self;
    }

    /**
     * Returns where this router accepts requests.
     *
     * @return an IP address and port, or an empty string if other routers must not relay requests to it
     */
    public String callerAddress() {
        return callerAddress;
    }

    /**
     * Returns the seed of all random choices.
     *
     * @return a number that differs between routers
     */
    public long seed() {
        return seed;
    }

    /**
     * Returns the retry budget of all routers together, as a fraction of first attempts.
     *
     * @return a ratio
     */
    public double retryRatio() {
        return retryRatio;
    }

    /**
     * Returns the retries per window that all routers together may send in addition to the ratio.
     *
     * @return a count
     */
    public double retryReserve() {
        return retryReserve;
    }

    /**
     * Returns the window over which retries are counted.
     *
     * @return milliseconds
     */
    public long retryWindowMillis() {
        return retryWindowMillis;
    }

    /**
     * Returns the duration of the order lease: within this time, no two routers may both issue orders.
     *
     * @return milliseconds
     */
    public long orderLeaseMillis() {
        return orderLeaseMillis;
    }

    /**
     * Returns how long a request may still start on replaced weights after operators requested a newer version.
     *
     * @return milliseconds
     */
    public long replacedWeightsGraceMillis() {
        return replacedWeightsGraceMillis;
    }

    /**
     * Returns how long after a stop request open requests may go on, before they are cut.
     *
     * @return milliseconds
     */
    public long stopGraceMillis() {
        return stopGraceMillis;
    }

    /**
     * Returns whether requests leave the failure domain by what they gain, or for a fixed cost.
     *
     * @return whether the gain decides
     */
    public boolean leavesDomainByGain() {
        return leavesDomainByGain;
    }

    /**
     * Returns the most requests that may leave the failure domain while it has an upstream for them.
     *
     * @return requests per second of this router, possibly infinite
     */
    public double leavesDomainPerSecond() {
        return leavesDomainPerSecond;
    }

    /**
     * Returns whether routers tell each other of dark upstreams, in fleets with relays.
     *
     * @return whether they do
     */
    public boolean tellsDarkUpstreams() {
        return tellsDarkUpstreams;
    }

    /**
     * Returns how exactly limits of customers hold over all routers.
     *
     * @return the tolerance
     */
    public LimitTolerance limitTolerance() {
        return limitTolerance;
    }

    /** Builds settings. */
    public static final class Builder {
        private EntryVm self;
        private String callerAddress = "";
        private long seed = 1;
        private double retryRatio = 0.2;
        private double retryReserve = 50;
        private long retryWindowMillis = 10_000;
        private long orderLeaseMillis = 3_000;
        private long replacedWeightsGraceMillis = 8_000;
        private long stopGraceMillis = 7_600;
        private boolean leavesDomainByGain = true;
        private double leavesDomainPerSecond = Double.POSITIVE_INFINITY;
        private boolean tellsDarkUpstreams;
        private LimitTolerance limitTolerance = LimitTolerance.DEFAULTS;

        private Builder() {}

        /**
         * Sets this router's entry VM.
         *
         * @param value the VM
         * @return this
         */
        public Builder self(EntryVm value) {
            self = value;
            return this;
        }

        /**
         * Sets where this router accepts requests, so that other routers can relay theirs.
         *
         * @param value an IP address and port
         * @return this builder
         */
        public Builder callerAddress(String value) {
            callerAddress = value;
            return this;
        }

        /**
         * Sets the seed of all random choices.
         *
         * @param value a number that differs between routers
         * @return this
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Sets the retry budget of all routers together.
         *
         * @param ratio the retries allowed as a fraction of first attempts
         * @param reserve the retries allowed per window in addition to the ratio
         * @param windowMillis the window in milliseconds
         * @return this
         */
        public Builder retryBudget(double ratio, double reserve, long windowMillis) {
            retryRatio = ratio;
            retryReserve = reserve;
            retryWindowMillis = windowMillis;
            return this;
        }

        /**
         * Sets the duration of the order lease: within this time, no two routers may both issue orders.
         *
         * @param millis milliseconds
         * @return this
         */
        public Builder orderLeaseMillis(long millis) {
            orderLeaseMillis = millis;
            return this;
        }

        /**
         * Sets how long a request may still start on replaced weights after operators requested a newer version.
         *
         * @param millis milliseconds
         * @return this
         */
        public Builder replacedWeightsGraceMillis(long millis) {
            replacedWeightsGraceMillis = millis;
            return this;
        }

        /**
         * Sets how long after a stop request open requests may go on, before they are cut.
         *
         * @param millis milliseconds
         * @return this
         */
        public Builder stopGraceMillis(long millis) {
            stopGraceMillis = millis;
            return this;
        }

        /**
         * Sets how requests leave the failure domain.
         *
         * @param byGain whether the gain decides, or a fixed cost
         * @param maximumPerSecond the most a second while the failure domain has an upstream for them
         * @return this
         */
        public Builder leavingDomain(boolean byGain, double maximumPerSecond) {
            leavesDomainByGain = byGain;
            leavesDomainPerSecond = maximumPerSecond;
            return this;
        }

        /**
         * Sets whether routers tell each other of dark upstreams and end attempts there, in fleets with relays.
         *
         * @param told whether they do; not by default
         * @return this
         */
        public Builder darkUpstreams(boolean told) {
            tellsDarkUpstreams = told;
            return this;
        }

        /**
         * Sets how exactly limits of customers hold over all routers.
         *
         * @param value the tolerance
         * @return this
         */
        public Builder limitTolerance(LimitTolerance value) {
            limitTolerance = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public ForwardingSettings build() {
            return new ForwardingSettings(this);
        }
    }
}
