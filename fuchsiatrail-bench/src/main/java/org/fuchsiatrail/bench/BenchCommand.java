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

/** The command line of the measurements. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures fuchsiatrail on virtual time and prints tables.",
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
     * Runs the command line.
     *
     * @param arguments the arguments
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new BenchCommand()).execute(arguments));
    }

    @Command(name = "ledger", mixinStandardHelpOptions = true, description = "Measures claims against store writes.")
    static final class Ledger implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "The seed.")
        private long seed;

        @Override
        public Integer call() {
            new LedgerExperiment(seed, System.out).run();
            return 0;
        }
    }

    @Command(name = "slopes", mixinStandardHelpOptions = true, description = "Measures what control costs a router.")
    static final class Slopes implements Callable<Integer> {
        @Override
        public Integer call() {
            new SlopeExperiment(System.out).run();
            return 0;
        }
    }

    @Command(name = "relay", mixinStandardHelpOptions = true, description = "Loads running processes on loopback.")
    static final class Relay implements Callable<Integer> {
        private static final int STREAMS = 500;
        private static final int TOKENS = 400;

        @Option(names = "--engine", required = true, description = "IP:port of an engine.")
        private String engine;

        @Option(names = "--router", required = true, description = "IP:port of a router's caller port.")
        private String router;

        @Option(names = "--key", required = true, description = "An API key.")
        private String key;

        @Option(names = "--rate", defaultValue = "200", description = "Requests a second.")
        private int rate;

        @Option(names = "--seconds", defaultValue = "10", description = "Seconds of each round.")
        private int seconds;

        @Override
        public Integer call() throws Exception {
            RelayExperiment experiment = new RelayExperiment(engine, router, key, System.out);
            experiment.firstToken(rate, seconds);
            experiment.relay(STREAMS, TOKENS);
            experiment.close();
            return 0;
        }
    }

    @Command(name = "jmh", mixinStandardHelpOptions = true, description = "Times decisions and updates with JMH.")
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

    @Command(name = "overload", mixinStandardHelpOptions = true, description = "Measures limits past saturation.")
    static final class Overload implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "The seed.")
        private long seed;

        @Option(names = "--seconds", defaultValue = "30", description = "Measured seconds of each run.")
        private int seconds;

        @Override
        public Integer call() {
            new OverloadExperiment(Deployment.huaman(), seed, seconds * 1000, System.out).run();
            new OverloadExperiment(Deployment.bundesstelle(), seed, seconds * 1000, System.out).run();
            return 0;
        }
    }

    @Command(name = "routing", mixinStandardHelpOptions = true, description = "Compares the choice of engines.")
    static final class Routing implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "The seed.")
        private long seed;

        @Option(names = "--seconds", defaultValue = "30", description = "Measured seconds of each run.")
        private int seconds;

        @Option(names = "--scenario", description = "A scenario; all when none is given.")
        private List<Scenario> scenarios = List.of(Scenario.values());

        @Option(names = "--load", description = "A load in percent; the standard ones when none is given.")
        private List<Integer> loads = List.of();

        @Option(names = "--plots", description = "A folder for plots.")
        private Path plots;

        @Override
        public Integer call() throws Exception {
            for (Deployment deployment : List.of(Deployment.huaman(), Deployment.bundesstelle())) {
                RoutingExperiment experiment = new RoutingExperiment(deployment, seed, seconds * 1000, System.out);
                experiment.run(scenarios, loads);
                if (plots != null) {
                    draw(deployment, experiment);
                }
            }
            return 0;
        }

        private void draw(Deployment deployment, RoutingExperiment experiment) throws Exception {
            Files.createDirectories(plots);
            Plots.overLoad(
                    plots.resolve(deployment.name() + "-hit-rate.png"),
                    deployment.name() + ": prefix hit rate",
                    "%",
                    experiment.calmOutcomes(),
                    Outcome::hitRate);
            Plots.overLoad(
                    plots.resolve(deployment.name() + "-first-token.png"),
                    deployment.name() + ": 99th percentile of the time to the first token",
                    "ms",
                    experiment.calmOutcomes(),
                    outcome -> outcome.percentile(99));
        }
    }
}
