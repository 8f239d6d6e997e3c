package org.fuchsiatrail.bench;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line of the benchmarks; each subcommand runs one experiment and prints its tables. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Runs benchmarks of fuchsiatrail, most of them in virtual time, and prints tables.",
        subcommands = {
            BenchCommand.Routing.class,
            BenchCommand.Overload.class,
            BenchCommand.Ledger.class,
            BenchCommand.Slopes.class,
            BenchCommand.Jmh.class,
            BenchCommand.Relay.class
        })
public final class BenchCommand {

    private BenchCommand() {}

    /**
     * Runs the command line and exits with its exit code.
     *
     * @param arguments the command line arguments
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new BenchCommand()).execute(arguments));
    }

    @Command(name = "ledger", mixinStandardHelpOptions = true, description = "Measures ledger claims per store write.")
    static final class Ledger implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "The random seed.")
        private long seed;

        @Override
        public Integer call() {
            new LedgerExperiment(seed, System.out).run();
            return 0;
        }
    }

    @Command(
            name = "slopes",
            mixinStandardHelpOptions = true,
            description = "Measures the cost of a router's control traffic.")
    static final class Slopes implements Callable<Integer> {
        @Override
        public Integer call() {
            new ControlCostExperiment(System.out).run();
            return 0;
        }
    }

    @Command(
            name = "relay",
            mixinStandardHelpOptions = true,
            description = "Measures a router's overhead on loopback processes.")
    static final class Relay implements Callable<Integer> {
        private static final int STREAMS = 500;
        private static final int TOKENS_PER_STREAM = 400;

        @Option(names = "--engine", required = true, description = "IP:port of an engine.")
        private String engine;

        @Option(names = "--router", required = true, description = "IP:port where a router accepts callers.")
        private String router;

        @Option(names = "--key", required = true, description = "A customer's API key.")
        private String key;

        @Option(names = "--rate", defaultValue = "200", description = "Requests per second.")
        private int rate;

        @Option(names = "--seconds", defaultValue = "10", description = "Seconds per round.")
        private int seconds;

        @Override
        public Integer call() throws Exception {
            RouterOverheadExperiment experiment = new RouterOverheadExperiment(engine, router, key, System.out);
            experiment.measureFirstTokenTime(rate, seconds);
            experiment.measureThroughput(STREAMS, TOKENS_PER_STREAM);
            experiment.close();
            return 0;
        }
    }

    @Command(
            name = "jmh",
            mixinStandardHelpOptions = true,
            description = "Times routing decisions and directory updates with JMH.")
    static final class Jmh implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            Options options = new OptionsBuilder()
                    .include(RoutingBenchmark.class.getSimpleName())
                    .addProfiler(GCProfiler.class)
                    .build();
            new Runner(options).run();
            return 0;
        }
    }

    @Command(
            name = "overload",
            mixinStandardHelpOptions = true,
            description = "Measures admission limits beyond saturation.")
    static final class Overload implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "The random seed.")
        private long seed;

        @Option(names = "--seconds", defaultValue = "30", description = "Measured seconds per run.")
        private int seconds;

        @Override
        public Integer call() {
            new OverloadExperiment(DeploymentProfile.huaman(), seed, seconds * 1000, System.out).run();
            new OverloadExperiment(DeploymentProfile.bundesstelle(), seed, seconds * 1000, System.out).run();
            return 0;
        }
    }

    @Command(
            name = "routing",
            mixinStandardHelpOptions = true,
            description = "Compares engine selection with baselines.")
    static final class Routing implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "The random seed.")
        private long seed;

        @Option(names = "--seconds", defaultValue = "30", description = "Measured seconds per run.")
        private int seconds;

        @Option(names = "--scenario", description = "A scenario to run; default: all.")
        private List<Scenario> scenarios = List.of(Scenario.values());

        @Option(
                names = "--load",
                description = "A load in percent of capacity; default: the scenario's standard loads.")
        private List<Integer> loads = List.of();

        @Option(names = "--plots", description = "The directory to write plots to.")
        private Path plots;

        @Override
        public Integer call() throws Exception {
            for (DeploymentProfile profile : List.of(DeploymentProfile.huaman(), DeploymentProfile.bundesstelle())) {
                RoutingExperiment experiment = new RoutingExperiment(profile, seed, seconds * 1000, System.out);
                experiment.run(scenarios, loads);
                if (plots != null) {
                    writePlots(profile, experiment);
                }
            }
            return 0;
        }

        private void writePlots(DeploymentProfile profile, RoutingExperiment experiment) throws Exception {
            Files.createDirectories(plots);
            Plots.plotByLoad(
                    plots.resolve(profile.name() + "-hit-rate.png"),
                    profile.name() + ": prefix hit rate",
                    "%",
                    experiment.metricsWithoutFaults(),
                    RunMetrics::hitRatePercent);
            Plots.plotByLoad(
                    plots.resolve(profile.name() + "-first-token.png"),
                    profile.name() + ": 99th percentile of the time to the first token",
                    "ms",
                    experiment.metricsWithoutFaults(),
                    metrics -> metrics.firstTokenPercentileMillis(99));
        }
    }
}
