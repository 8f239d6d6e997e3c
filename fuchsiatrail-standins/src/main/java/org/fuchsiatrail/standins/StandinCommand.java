package org.fuchsiatrail.standins;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.standins.model.EngineTraits;
import org.fuchsiatrail.standins.server.EngineServer;
import org.fuchsiatrail.standins.server.ServiceServer;
import org.fuchsiatrail.standins.server.StoreServer;
import org.fuchsiatrail.wire.peer.Addresses;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The {@code standin} command, which runs one stand-in until the process is killed. */
@Command(
        name = "standin",
        description =
                "Starts a stand-in for an engine, a plain service or the platform's store, for tests and the demo.",
        mixinStandardHelpOptions = true,
        subcommands = {StandinCommand.Engine.class, StandinCommand.Store.class, StandinCommand.Service.class})
public final class StandinCommand {

    private static int runUntilKilled(AutoCloseable server) throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown));
        stopped.await();
        server.close();
        return 0;
    }

    @Command(name = "engine", description = "Starts a stand-in engine.", mixinStandardHelpOptions = true)
    static final class Engine implements Callable<Integer> {
        @Option(names = "--listen", required = true, description = "IP:port")
        private String listen;

        @Option(names = "--id", required = true, description = "The engine's name.")
        private String id;

        @Option(names = "--model", description = "A model version that is loaded at start; may be repeated.")
        private List<String> models = List.of();

        @Option(
                names = "--cache",
                defaultValue = "2000",
                description = "Maximum number of prefix checkpoints in the cache.")
        private int cache;

        @Option(
                names = "--prefill",
                defaultValue = "8000",
                description = "Prompt tokens that are prefilled per second.")
        private long prefill;

        @Option(
                names = "--token-millis",
                defaultValue = "20",
                description = "Milliseconds between two tokens of an answer.")
        private long tokenMillis;

        @Option(names = "--streams", defaultValue = "64", description = "Maximum number of concurrent streams.")
        private int streams;

        @Option(names = "--ignores-fencing", description = "Accept orders with outdated fencing tokens.")
        private boolean ignoresFencing;

        @Option(
                names = "--poison",
                defaultValue = "",
                description = "The process crashes when a prompt contains this text.")
        private String poison;

        @Override
        public Integer call() throws Exception {
            List<ModelVersion> loaded = models.stream().map(ModelVersion::parse).toList();
            EngineTraits traits = new EngineTraits(
                    new UpstreamId(id), loaded, cache, prefill, tokenMillis, streams, 300, 2_000, !ignoresFencing);
            return runUntilKilled(new EngineServer(Addresses.toSocketAddress(listen), traits, poison));
        }
    }

    @Command(name = "store", description = "Starts a stand-in store.", mixinStandardHelpOptions = true)
    static final class Store implements Callable<Integer> {
        @Option(names = "--listen", required = true, description = "IP:port")
        private String listen;

        @Override
        public Integer call() throws Exception {
            return runUntilKilled(new StoreServer(Addresses.toSocketAddress(listen)));
        }
    }

    @Command(name = "service", description = "Starts a stand-in plain service.", mixinStandardHelpOptions = true)
    static final class Service implements Callable<Integer> {
        @Option(names = "--listen", required = true, description = "IP:port")
        private String listen;

        @Option(names = "--name", required = true, description = "The service's name in its responses.")
        private String name;

        @Override
        public Integer call() throws Exception {
            return runUntilKilled(new ServiceServer(Addresses.toSocketAddress(listen), name));
        }
    }
}
