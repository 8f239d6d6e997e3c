package org.fuchsiatrail.bench;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/** Counts the requests of one run by their result and records the time to the first token of served requests. */
final class RunMetrics {

    private static final long MAXIMUM_RECORDED_MILLIS = 120_000;

    private final Histogram firstTokenMillis = new Histogram(MAXIMUM_RECORDED_MILLIS, 3);
    private final Map<String, Integer> servedByCustomer = new TreeMap<>();
    private int requests;
    private int refusals;
    private int servedAfterDeadline;
    private int retries;
    private int servedRetries;
    private final Map<String, Integer> requestsByCustomer = new TreeMap<>();
    private long promptTokens;
    private long computedTokens;
    private double seconds;

    void recordRequest(String customer) {
        requests++;
        requestsByCustomer.merge(customer, 1, Integer::sum);
    }

    void recordRetry(boolean served) {
        retries++;
        servedRetries += served ? 1 : 0;
    }

    int retryCount() {
        return retries;
    }

    double servedRetriesPercent() {
        return retries == 0 ? 100 : 100.0 * servedRetries / retries;
    }

    /**
     * Returns the lowest ratio, over all customers, of served requests to the fair share; the customer's own demand
     * replaces the fair share where it is smaller.
     */
    double lowestFairShareFraction() {
        double fairShare = (double) servedCount() / requestsByCustomer.size();
        double lowest = 1;
        for (Map.Entry<String, Integer> demand : requestsByCustomer.entrySet()) {
            int servedRequests = servedByCustomer.getOrDefault(demand.getKey(), 0);
            lowest = Math.min(lowest, servedRequests / Math.min(fairShare, demand.getValue()));
        }
        return lowest;
    }

    void recordRefusal() {
        refusals++;
    }

    void recordServed(String customer, long millisToFirstToken) {
        firstTokenMillis.recordValue(Math.min(MAXIMUM_RECORDED_MILLIS, Math.max(0, millisToFirstToken)));
        servedByCustomer.merge(customer, 1, Integer::sum);
        if (millisToFirstToken > DeploymentProfile.FIRST_TOKEN_DEADLINE_MILLIS) {
            servedAfterDeadline++;
        }
    }

    void recordTokens(long prompt, long computed, double measuredSeconds) {
        promptTokens = prompt;
        computedTokens = computed;
        seconds = measuredSeconds;
    }

    int servedCount() {
        return (int) firstTokenMillis.getTotalCount();
    }

    double servedWithinDeadlinePerSecond() {
        return (servedCount() - servedAfterDeadline) / seconds;
    }

    double promptTokensPerSecond() {
        return promptTokens / seconds;
    }

    double hitRatePercent() {
        return promptTokens == 0 ? 0 : 100.0 * (promptTokens - computedTokens) / promptTokens;
    }

    long firstTokenPercentileMillis(double percent) {
        return firstTokenMillis.getValueAtPercentile(percent);
    }

    double computedTokensPerRequest() {
        return servedCount() == 0 ? 0 : (double) computedTokens / servedCount();
    }

    int refusalCount() {
        return refusals;
    }

    int requestCount() {
        return requests;
    }

    Map<String, Integer> servedByCustomer() {
        return servedByCustomer;
    }
}
