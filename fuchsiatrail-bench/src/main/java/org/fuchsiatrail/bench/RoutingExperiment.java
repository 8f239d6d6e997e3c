package org.fuchsiatrail.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Compares the router's engine selection with baselines and an oracle, and prints a table. */
final class RoutingExperiment {

    private static final List<Integer> LOAD_PERCENTAGES = List.of(40, 70, 90, 120);
    private static final List<Integer> LOAD_PERCENTAGES_UNDER_FAULTS = List.of(70, 90);
    private static final double INITIAL_REQUESTS_PER_SECOND = 5;
    private static final double RATE_GROWTH_FACTOR = 1.05;
    private static final double REQUIRED_SERVED_FRACTION = 0.98;

    private final DeploymentProfile profile;
    private final long seed;
    private final int measuredMillis;
    private final PrintStream out;
    private final Map<String, Map<Integer, RunMetrics>> faultFreeMetrics = new LinkedHashMap<>();
    private double capacityPerSecond;

    RoutingExperiment(DeploymentProfile profile, long seed, int measuredMillis, PrintStream out) {
        this.profile = profile;
        this.seed = seed;
        this.measuredMillis = measuredMillis;
        this.out = out;
    }

    /** Returns the highest request rate at which the oracle serves 98 percent of the requests in time. */
    double capacityPerSecond() {
        double requestsPerSecond = INITIAL_REQUESTS_PER_SECOND;
        while (capacityPerSecond == 0) {
            Baseline oracle = new Baseline.Oracle(profile.recomputeWeight());
            RunMetrics metrics =
                    SimulatedRun.runBaseline(profile, Scenario.CALM, oracle, requestsPerSecond, seed, measuredMillis);
            double servedFraction =
                    metrics.servedWithinDeadlinePerSecond() * measuredMillis / 1000 / metrics.requestCount();
            if (servedFraction < REQUIRED_SERVED_FRACTION) {
                capacityPerSecond = requestsPerSecond / RATE_GROWTH_FACTOR;
            }
            requestsPerSecond *= RATE_GROWTH_FACTOR;
        }
        return capacityPerSecond;
    }

    void run(List<Scenario> scenarios, List<Integer> requestedLoads) {
        out.printf(
                Locale.ROOT, "## %s, seed %d, capacity %.1f requests/s%n%n", profile.name(), seed, capacityPerSecond());
        out.println("| scenario | load % | policy | hit rate % | p50 ms | p95 ms | p99 ms | computed tokens a request"
                + " | served/s | refused |");
        out.println("|---|---|---|---|---|---|---|---|---|---|");
        for (Scenario scenario : scenarios) {
            List<Integer> defaultLoads = scenario == Scenario.CALM ? LOAD_PERCENTAGES : LOAD_PERCENTAGES_UNDER_FAULTS;
            for (int load : requestedLoads.isEmpty() ? defaultLoads : requestedLoads) {
                runAll(scenario, load);
            }
        }
        out.println();
    }

    private void runAll(Scenario scenario, int load) {
        double requestsPerSecond = capacityPerSecond() * load / 100;
        Map<String, RunMetrics> metricsByPolicy = new LinkedHashMap<>();
        metricsByPolicy.put(
                "fuchsiatrail", SimulatedRun.runRouter(profile, scenario, requestsPerSecond, seed, measuredMillis));
        for (Baseline baseline : baselines()) {
            metricsByPolicy.put(
                    baseline.label(),
                    SimulatedRun.runBaseline(profile, scenario, baseline, requestsPerSecond, seed, measuredMillis));
        }
        metricsByPolicy.forEach((policy, metrics) -> {
            print(scenario, load, policy, metrics);
            if (scenario == Scenario.CALM) {
                faultFreeMetrics
                        .computeIfAbsent(policy, key -> new LinkedHashMap<>())
                        .put(load, metrics);
            }
        });
    }

    private List<Baseline> baselines() {
        List<Baseline> baselines = new ArrayList<>();
        baselines.add(new Baseline.RoundRobin());
        baselines.add(new Baseline.LeastLoaded());
        baselines.add(new Baseline.PrefixHash());
        baselines.add(new Baseline.Oracle(profile.recomputeWeight()));
        return baselines;
    }

    private void print(Scenario scenario, int load, String policy, RunMetrics metrics) {
        out.printf(
                Locale.ROOT,
                "| %s | %d | %s | %.1f | %d | %d | %d | %.0f | %.1f | %d |%n",
                scenario.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                load,
                policy,
                metrics.hitRatePercent(),
                metrics.firstTokenPercentileMillis(50),
                metrics.firstTokenPercentileMillis(95),
                metrics.firstTokenPercentileMillis(99),
                metrics.computedTokensPerRequest(),
                metrics.servedWithinDeadlinePerSecond(),
                metrics.refusalCount());
    }

    /** Returns the metrics of the runs without faults, by policy and load, for plots. */
    Map<String, Map<Integer, RunMetrics>> metricsWithoutFaults() {
        return faultFreeMetrics;
    }
}
