package org.fuchsiatrail.internal.admission;

/**
 * How many requests of other routers an upstream has now, by news that are some time old.
 *
 * <p>Load pattern: requests take less time than news of them. If all routers avoid the upstreams that were full and use
 * those that had places, the former are idle and the latter full until the next news. News lose their weight as the
 * requests that they tell of end; what is expected instead is the mean of all upstreams.
 */
public final class AgedNews {

    private AgedNews() {}

    /**
     * Returns the requests of other routers that are expected at an upstream.
     *
     * @param told what the news tell of this upstream
     * @param mean the mean of what they tell of all upstreams
     * @param ageMillis the age of the news
     * @param stayMillis how long a request stays at an upstream, or 0 if unknown
     * @return their number
     */
    public static int expected(int told, double mean, long ageMillis, double stayMillis) {
        double weight = stayMillis <= 0 ? 1 : Math.exp(-ageMillis / stayMillis);
        return (int) Math.round(mean + (told - mean) * weight);
    }
}
