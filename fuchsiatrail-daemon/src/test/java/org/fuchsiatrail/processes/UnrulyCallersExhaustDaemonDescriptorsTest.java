package org.fuchsiatrail.processes;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.fuchsiatrail.processes.UnrulyCallers.Kind;
import org.fuchsiatrail.standins.process.ProcessUse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more callers than a process has descriptors: connections to engines and ordinary callers still get
 * some, so that no sound engine counts as failed.
 */
class UnrulyCallersExhaustDaemonDescriptorsTest {

    private static final int MACHINE_MEGABYTES = 258;
    private static final int DESCRIPTORS = 600;
    private static final int CALLERS = 700;
    private static final long CROWD_SECONDS = 6;

    /** How long a crowd stands before an ordinary caller comes, so that its requests are in work. */
    private static final long STANDING_SECONDS = 4;

    @TempDir
    private Path directory;

    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"WHOLE_BODY_STOPPING_SHORT", "SLOW_HEAD", "SILENT"})
    void should_keep_descriptors_for_engines_and_ordinary_callers(Kind kind) throws Exception {
        playCrowd(kind);
    }

    @Test
    void should_keep_descriptors_for_engines_and_ordinary_callers_beside_unread_streams() throws Exception {
        playCrowd(Kind.STREAMS_UNREAD);
    }

    private void playCrowd(Kind kind) throws Exception {
        try (DaemonOnLoopback daemon = new DaemonOnLoopback(directory, MACHINE_MEGABYTES, DESCRIPTORS);
                ProcessUse use = daemon.use()) {
            try (UnrulyCallers crowd = new UnrulyCallers(CALLERS, kind, daemon.callerPort(), DaemonOnLoopback.CHAT)) {
                crowd.awaitSent(CROWD_SECONDS);
                TimeUnit.SECONDS.sleep(STANDING_SECONDS);
                daemon.awaitOrdinaryAnswer();
                System.out.printf(
                        "%s: most megabytes %d, in queues %d, descriptors %d%n",
                        kind, use.mostMegabytes(), use.mostQueuedMegabytes(), use.descriptors());
            }
            assertFailureFree(daemon);
            assertThat(use.mostMegabytes()).as("megabytes").isLessThanOrEqualTo(MACHINE_MEGABYTES);
            daemon.awaitOrdinaryAnswer();
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"FRAME_STOPPING_SHORT", "SILENT"})
    void should_keep_descriptors_beside_callers_of_the_peer_port(Kind kind) throws Exception {
        try (DaemonOnLoopback daemon = new DaemonOnLoopback(directory, MACHINE_MEGABYTES, DESCRIPTORS)) {
            try (UnrulyCallers crowd = new UnrulyCallers(CALLERS, kind, daemon.peerPort(), "/")) {
                crowd.awaitSent(CROWD_SECONDS);
                TimeUnit.SECONDS.sleep(STANDING_SECONDS);
                daemon.awaitOrdinaryAnswer();
            }
            assertFailureFree(daemon);
            daemon.awaitOrdinaryAnswer();
        }
    }

    private static void assertFailureFree(DaemonOnLoopback daemon) throws Exception {
        assertThat(daemon.process().isAlive()).as("process lives").isTrue();
        assertThat(daemon.logLines().stream()
                        .filter(line -> line.contains("Too many open files")
                                || line.contains("NullPointerException")
                                || line.contains("OutOfMemoryError")))
                .as("failures for want of descriptors or memory")
                .isEmpty();
    }
}
