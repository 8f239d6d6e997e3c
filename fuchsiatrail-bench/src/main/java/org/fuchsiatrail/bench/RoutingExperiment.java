package org.fuchsiatrail.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Compares the router's choice of engine with baselines and an oracle, and prints a table. */
final class RoutingExperiment {

    private static final List<Integer> LOADS = List.of(40, 70, 90, 120);
    private static final List<Integer> LOADS_UNDER_FAULTS = List.of(70, 90);
    private static final double FIRST_RATE = 5;
    private static final double RATE_STEP = 1.05;
    private static final double NEARLY_ALL = 0.98;

    private final Deployment deployment;
    private final long seed;
    private final int measuredMillis;
    private final PrintStream out;
    private final Map<String, Map<Integer, Outcome>> calm = new LinkedHashMap<>();
    private double capacity;

    RoutingExperiment(Deployment deployment, long seed, int measuredMillis, PrintStream out) {
        this.deployment = deployment;
        this.seed = seed;
        this.measuredMillis = measuredMillis;
        this.out = out;
    }

    /** Finds the highest rate at which the oracle still serves nearly all requests within their deadline. */
    double capacity() {
        double rate = FIRST_RATE;
        while (capacity == 0) {
            Policy oracle = new Policy.Oracle(deployment.recomputeWeight());
            Outcome outcome = Run.baseline(deployment, Scenario.CALM, oracle, rate, seed, measuredMillis);
            double servedPart = outcome.servedPerSecond() * measuredMillis / 1000 / outcome.askedCount();
            if (servedPart < NEARLY_ALL) {
                capacity = rate / RATE_STEP;
            }
            rate *= RATE_STEP;
        }
        return capacity;
    }

    void run(List<Scenario> scenarios, List<Integer> wantedLoads) {
        out.printf(Locale.ROOT, "## %s, seed %d, capacity %.1f requests/s%n%n", deployment.name(), seed, capacity());
        out.println("| scenario | load % | policy | hit rate % | p50 ms | p95 ms | p99 ms | computed tokens a request"
                + " | served/s | refused |");
        out.println("|---|---|---|---|---|---|---|---|---|---|");
        for (Scenario scenario : scenarios) {
            List<Integer> standard = scenario == Scenario.CALM ? LOADS : LOADS_UNDER_FAULTS;
            for (int load : wantedLoads.isEmpty() ? standard : wantedLoads) {
                runAll(scenario, load);
            }
        }
        out.println();
    }

    private void runAll(Scenario scenario, int load) {
        double rate = capacity() * load / 100;
        Map<String, Outcome> outcomes = new LinkedHashMap<>();
        outcomes.put("fuchsiatrail", Run.ours(deployment, scenario, rate, seed, measuredMillis));
        for (Policy policy : policies()) {
            outcomes.put(policy.label(), Run.baseline(deployment, scenario, policy, rate, seed, measuredMillis));
        }
        outcomes.forEach((name, outcome) -> {
            print(scenario, load, name, outcome);
            if (scenario == Scenario.CALM) {
                calm.computeIfAbsent(name, key -> new LinkedHashMap<>()).put(load, outcome);
            }
        });
    }

    private List<Policy> policies() {
        List<Policy> policies = new ArrayList<>();
        policies.add(new Policy.RoundRobin());
        policies.add(new Policy.LeastLoaded());
        policies.add(new Policy.PrefixHash());
        policies.add(new Policy.Oracle(deployment.recomputeWeight()));
        return policies;
    }

    private void print(Scenario scenario, int load, String name, Outcome outcome) {
        out.printf(
                Locale.ROOT,
                "| %s | %d | %s | %.1f | %d | %d | %d | %.0f | %.1f | %d |%n",
                scenario.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                load,
                name,
                outcome.hitRate(),
                outcome.percentile(50),
                outcome.percentile(95),
                outcome.percentile(99),
                outcome.computedPerRequest(),
                outcome.servedPerSecond(),
                outcome.refusals());
    }

    /** Returns the calm outcomes by policy and load, for plots. */
    Map<String, Map<Integer, Outcome>> calmOutcomes() {
        return calm;
    }
}
