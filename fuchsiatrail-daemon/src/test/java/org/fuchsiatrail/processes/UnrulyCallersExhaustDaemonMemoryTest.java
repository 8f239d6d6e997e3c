package org.fuchsiatrail.processes;

import java.nio.file.Path;
import java.util.stream.Stream;

import org.fuchsiatrail.processes.UnrulyCallers.Kind;
import org.fuchsiatrail.standins.process.ProcessUse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers outside any control that end the daemon's process or stop it from serving others: the process
 * runs on, its memory and descriptors stay under a bound, and an ordinary request is answered afterwards.
 */
class UnrulyCallersExhaustDaemonMemoryTest {

    /** The memory of the VM, in megabytes, 60 % of which go to the heap. */
    private static final int MACHINE_MEGABYTES = 258;

    private static final int CALLERS = 60;

    /** The descriptors of a process without callers, with a margin. */
    private static final int OTHER_DESCRIPTORS = 120;

    private static final long CROWD_SECONDS = 6;

    @TempDir
    private Path directory;

    private DaemonOnLoopback daemon;

    /** Where a crowd connects to. */
    enum Door {
        CHAT,
        NO_ROUTE,
        CALLERS_READINESS,
        READINESS,
        OPERATORS,
        PEERS
    }

    @BeforeEach
    void start() throws Exception {
        daemon = new DaemonOnLoopback(directory, MACHINE_MEGABYTES, 0);
    }

    @AfterEach
    void stop() throws Exception {
        daemon.close();
    }

    static Stream<Arguments> crowds() {
        return Stream.of(Kind.values())
                .flatMap(kind -> Stream.of(Door.values())
                        .filter(door -> isPlayed(kind, door))
                        .map(door -> Arguments.of(kind, door)));
    }

    private static boolean isPlayed(Kind kind, Door door) {
        return switch (kind) {
            case STREAMS_UNREAD -> door == Door.CHAT;
            case FRAME_STOPPING_SHORT -> door == Door.PEERS;
            default -> true;
        };
    }

    @ParameterizedTest
    @MethodSource("crowds")
    void should_outlast_a_crowd_and_serve_an_ordinary_caller(Kind kind, Door door) throws Exception {
        try (ProcessUse use = daemon.use()) {
            try (UnrulyCallers crowd = new UnrulyCallers(CALLERS, kind, port(door), path(door))) {
                crowd.awaitSent(CROWD_SECONDS);
                assertThat(use.descriptors()).as("descriptors").isLessThanOrEqualTo(descriptors(kind));
                daemon.awaitOrdinaryAnswer();
            }
            assertThat(daemon.process().isAlive()).as("process lives").isTrue();
            System.out.printf(
                    "%s %s: most megabytes %d, in queues %d%n",
                    kind, door, use.mostMegabytes(), use.mostQueuedMegabytes());
            assertThat(daemon.logLines().stream().filter(line -> line.contains("OutOfMemoryError")))
                    .as("failures for want of memory")
                    .isEmpty();
            assertThat(use.mostMegabytes()).as("megabytes").isLessThanOrEqualTo(MACHINE_MEGABYTES);
            daemon.awaitOrdinaryAnswer();
        }
    }

    /** Each stream has a connection to its engine too. */
    private static int descriptors(Kind kind) {
        return (kind == Kind.STREAMS_UNREAD ? 2 : 1) * CALLERS + OTHER_DESCRIPTORS;
    }

    private int port(Door door) {
        return switch (door) {
            case CHAT, NO_ROUTE, CALLERS_READINESS -> daemon.callerPort();
            case READINESS, OPERATORS -> daemon.operatorPort();
            case PEERS -> daemon.peerPort();
        };
    }

    private static String path(Door door) {
        return switch (door) {
            case CHAT -> DaemonOnLoopback.CHAT;
            case NO_ROUTE, PEERS -> "/nowhere";
            case CALLERS_READINESS, READINESS -> "/ready";
            case OPERATORS -> "/v1/operator";
        };
    }
}
