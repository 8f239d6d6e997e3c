package org.fuchsiatrail.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.RouterSettings;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.directory.CacheDirectory;
import org.fuchsiatrail.internal.membership.MembershipSystem;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.routing.Candidate;
import org.fuchsiatrail.internal.routing.EngineChooser;
import org.fuchsiatrail.internal.store.StoreCalls;
import org.fuchsiatrail.internal.upstreams.UpstreamSystem;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures one routing decision, one cache directory update and the hashing of a prompt of 2,000 blocks. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class RoutingBenchmark {

    private static final ModelVersion MODEL = new ModelVersion("model", "v1");
    private static final int PROMPT_BYTES = 2_000 * PrefixChain.TOKENS_PER_BLOCK * PrefixChain.BYTES_PER_TOKEN;
    private static final long NOW_MILLIS = 1_000_000;

    /** The number of engines that a decision selects from. */
    @Param({"10", "100", "600"})
    private int engines;

    private EngineChooser chooser;
    private CacheDirectory directory;
    private PrefixChain chain;
    private String prompt;
    private final UpstreamId cachingEngine = new UpstreamId("engine-1");
    private final long[] checkpoint = new long[1];
    private long nextCheckpoint;

    /** Registers the engines with their load reports and fills the cache directory. */
    @Setup
    public void setUp() {
        EntryVm self = new EntryVm(new EntryVmId("vm-1"), new FailureDomain("domain-1"), "10.0.0.1:1", false);
        RouterContext context =
                new RouterContext(RouterSettings.builder().self(self).build());
        context.beginTick(NOW_MILLIS);
        MembershipSystem membership = new MembershipSystem(context, new StoreCalls(context), () -> null);
        UpstreamSystem upstreams = new UpstreamSystem(context, membership, upstream -> {});
        List<Intent.Upstream> definitions = new ArrayList<>();
        for (int number = 0; number < engines; number++) {
            definitions.add(new Intent.Upstream(
                    "engine-" + number,
                    Intent.UpstreamKind.ENGINE,
                    "domain-" + number % 3,
                    "10.0.0.2:" + (1_000 + number),
                    List.of(MODEL.toString()),
                    true,
                    false));
        }
        upstreams.configure(new Intent(List.of(), List.of(), definitions, List.of(), List.of()));
        for (int number = 0; number < engines; number++) {
            upstreams.receiveLoadReport(new LoadReport(
                    new UpstreamId("engine-" + number),
                    1,
                    37L * number % 900,
                    3,
                    64,
                    8_000,
                    List.of(MODEL),
                    false,
                    NOW_MILLIS));
        }
        chooser = new EngineChooser(context, upstreams);
        prompt = "x".repeat(PROMPT_BYTES);
        chain = PrefixChain.of("salt", prompt);
        directory = new CacheDirectory(60_000, 400_000);
        for (int number = 1; number < 4; number++) {
            directory.recordStored(new UpstreamId("engine-" + number), 1, chain.checkpoints(), NOW_MILLIS);
        }
    }

    /**
     * Looks the prompt's prefix up in the cache directory and selects an engine.
     *
     * @return the selected engine
     */
    @Benchmark
    public Optional<Candidate> decision() {
        return chooser.choose(MODEL, chain, directory.lookup(chain.checkpoints(), NOW_MILLIS), Set.of());
    }

    /**
     * Records one checkpoint as cached by an engine.
     *
     * @return the number of entries in the cache directory
     */
    @Benchmark
    public int directoryUpdate() {
        checkpoint[0] = nextCheckpoint++ % 300_000 * 0x9E3779B97F4A7C15L;
        directory.recordStored(cachingEngine, 1, checkpoint, NOW_MILLIS);
        return directory.size();
    }

    /**
     * Hashes the prompt into its chain of prefix checkpoints.
     *
     * @return the chain
     */
    @Benchmark
    public PrefixChain hashing() {
        return PrefixChain.of("salt", prompt);
    }
}
