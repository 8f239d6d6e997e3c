package org.fuchsiatrail.internal.load;

/**
 * How fast one upstream is expected to be at a moment.
 *
 * @param tokensPerMillisecond the prompt tokens that it reads in a millisecond
 * @param fixedMillis the time to the first event of a request in addition to reading
 * @param callMillis the time of a call that finds a place at once
 * @param placeMillis how long a request waits for a place when all are taken
 */
public record EngineSpeed(double tokensPerMillisecond, double fixedMillis, double callMillis, double placeMillis) {

    /** The speed of upstreams that do not tell how long work takes on them, from the platform's data sheets. */
    public static final EngineSpeed ASSUMED = new EngineSpeed(38, 0, 80, 300);

    /**
     * Returns the expected time to read prompt tokens.
     *
     * @param tokens the tokens
     * @return the time in milliseconds
     */
    public double prefillMillis(double tokens) {
        return tokens / tokensPerMillisecond;
    }
}
