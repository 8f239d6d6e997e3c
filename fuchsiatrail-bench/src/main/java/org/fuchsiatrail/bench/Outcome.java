package org.fuchsiatrail.bench;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/** What one run gave. */
final class Outcome {

    private static final long LONGEST_MILLIS = 120_000;

    private final Histogram firstToken = new Histogram(LONGEST_MILLIS, 3);
    private final Map<String, Integer> servedByCustomer = new TreeMap<>();
    private int asked;
    private int refused;
    private int late;
    private int cameBack;
    private int servedAfterComingBack;
    private final Map<String, Integer> askedByCustomer = new TreeMap<>();
    private long promptTokens;
    private long computedTokens;
    private double seconds;

    void asked(String customer) {
        asked++;
        askedByCustomer.merge(customer, 1, Integer::sum);
    }

    void cameBack(boolean served) {
        cameBack++;
        servedAfterComingBack += served ? 1 : 0;
    }

    int cameBackCount() {
        return cameBack;
    }

    double servedAfterComingBackPercent() {
        return cameBack == 0 ? 100 : 100.0 * servedAfterComingBack / cameBack;
    }

    /** Returns the least part of its fair share, or of its demand where that is smaller, that a customer got. */
    double leastFairPart() {
        double fair = (double) served() / askedByCustomer.size();
        double least = 1;
        for (Map.Entry<String, Integer> demand : askedByCustomer.entrySet()) {
            int got = servedByCustomer.getOrDefault(demand.getKey(), 0);
            least = Math.min(least, got / Math.min(fair, demand.getValue()));
        }
        return least;
    }

    void refused() {
        refused++;
    }

    void served(String customer, long firstTokenMillis) {
        firstToken.recordValue(Math.min(LONGEST_MILLIS, Math.max(0, firstTokenMillis)));
        servedByCustomer.merge(customer, 1, Integer::sum);
        if (firstTokenMillis > Deployment.DEADLINE_MILLIS) {
            late++;
        }
    }

    void tokens(long prompt, long computed, double runSeconds) {
        promptTokens = prompt;
        computedTokens = computed;
        seconds = runSeconds;
    }

    int served() {
        return (int) firstToken.getTotalCount();
    }

    double servedPerSecond() {
        return (served() - late) / seconds;
    }

    double promptTokensPerSecond() {
        return promptTokens / seconds;
    }

    double hitRate() {
        return promptTokens == 0 ? 0 : 100.0 * (promptTokens - computedTokens) / promptTokens;
    }

    long percentile(double percent) {
        return firstToken.getValueAtPercentile(percent);
    }

    double computedPerRequest() {
        return served() == 0 ? 0 : (double) computedTokens / served();
    }

    int refusals() {
        return refused;
    }

    int askedCount() {
        return asked;
    }

    Map<String, Integer> servedByCustomer() {
        return servedByCustomer;
    }
}
