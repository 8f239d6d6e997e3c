package org.fuchsiatrail.bench;

import java.io.PrintStream;
import java.util.Locale;

/**
 * Offers load beyond saturation, with callers that retry once at the retry time they were given, and prints how much
 * was served and how fairly.
 */
final class OverloadExperiment {

    private static final double[] REQUESTS_PER_SECOND = {25, 35, 50, 75, 100};

    private final DeploymentProfile profile;
    private final long seed;
    private final int measuredMillis;
    private final PrintStream out;

    OverloadExperiment(DeploymentProfile profile, long seed, int measuredMillis, PrintStream out) {
        this.profile = profile;
        this.seed = seed;
        this.measuredMillis = measuredMillis;
        this.out = out;
    }

    void run() {
        out.printf(Locale.ROOT, "## Overload, %s, seed %d%n%n", profile.name(), seed);
        out.println("| asked/s | served/s | p99 ms | hit rate % | refused | came back | of them served %"
                + " | least part of the fair share |");
        out.println("|---|---|---|---|---|---|---|---|");
        for (double requestsPerSecond : REQUESTS_PER_SECOND) {
            RunMetrics metrics =
                    SimulatedRun.runRouterWithRetryingCallers(profile, requestsPerSecond, seed, measuredMillis);
            out.printf(
                    Locale.ROOT,
                    "| %.0f | %.1f | %d | %.1f | %d | %d | %.1f | %.2f |%n",
                    requestsPerSecond,
                    metrics.servedWithinDeadlinePerSecond(),
                    metrics.firstTokenPercentileMillis(99),
                    metrics.hitRatePercent(),
                    metrics.refusalCount(),
                    metrics.retryCount(),
                    metrics.servedRetriesPercent(),
                    metrics.lowestFairShareFraction());
        }
        out.println();
    }
}
