package org.fuchsiatrail.bench;

import java.io.PrintStream;
import java.util.Locale;

/** Sends far more than can be served, with callers that come back when told, and prints who was served. */
final class OverloadExperiment {

    private static final double[] REQUESTS_PER_SECOND = {25, 35, 50, 75, 100};

    private final Deployment deployment;
    private final long seed;
    private final int measuredMillis;
    private final PrintStream out;

    OverloadExperiment(Deployment deployment, long seed, int measuredMillis, PrintStream out) {
        this.deployment = deployment;
        this.seed = seed;
        this.measuredMillis = measuredMillis;
        this.out = out;
    }

    void run() {
        out.printf(Locale.ROOT, "## Overload, %s, seed %d%n%n", deployment.name(), seed);
        out.println("| asked/s | served/s | p99 ms | hit rate % | refused | came back | of them served %"
                + " | least part of the fair share |");
        out.println("|---|---|---|---|---|---|---|---|");
        for (double rate : REQUESTS_PER_SECOND) {
            Outcome outcome = Run.oursComingBack(deployment, rate, seed, measuredMillis);
            out.printf(
                    Locale.ROOT,
                    "| %.0f | %.1f | %d | %.1f | %d | %d | %.1f | %.2f |%n",
                    rate,
                    outcome.servedPerSecond(),
                    outcome.percentile(99),
                    outcome.hitRate(),
                    outcome.refusals(),
                    outcome.cameBackCount(),
                    outcome.servedAfterComingBackPercent(),
                    outcome.leastFairPart());
        }
        out.println();
    }
}
