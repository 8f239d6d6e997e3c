package org.fuchsiatrail.daemon;

import java.lang.management.ManagementFactory;

import com.sun.management.UnixOperatingSystemMXBean;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.daemon.settings.SettingKey;
import org.fuchsiatrail.daemon.settings.Settings;
import org.fuchsiatrail.wire.memory.MemoryBudget;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/** Creates the memory budget of callers' and operators' connections; its defaults follow from the process's limits. */
final class ConnectionBudget {

    /** The part of the heap that connections may keep. */
    private static final int HEAP_PART = 5;

    /** The descriptors that are kept for files, the store, peers and state queries. */
    private static final int OTHER_DESCRIPTORS = 150;

    /**
     * The part of the other descriptors that callers may take: a request needs a connection to its engine, and that of
     * one which has left is closed later.
     */
    private static final int CALLER_PART = 3;

    private static final int MEGABYTE = 1024 * 1024;

    private ConnectionBudget() {}

    static MemoryBudget of(Settings settings, Clock clock, RouterMetrics metrics) {
        return MemoryBudget.ofBytes(bytes(settings), connections(settings), clock, metrics);
    }

    private static long bytes(Settings settings) {
        long megabytes = settings.integer(SettingKey.MEMORY_CONNECTION_MEGABYTES);
        return megabytes > 0
                ? megabytes * MEGABYTE
                : Math.max(
                        Runtime.getRuntime().maxMemory() / HEAP_PART,
                        2 * settings.integer(SettingKey.CALLERS_BODY_BYTES));
    }

    private static int connections(Settings settings) {
        long connections = settings.integer(SettingKey.MEMORY_CONNECTIONS);
        return (int) (connections > 0 ? connections : Math.max(1, (descriptors() - OTHER_DESCRIPTORS) / CALLER_PART));
    }

    /** Returns how many descriptors the process may have open. */
    static int descriptors() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? (int) Math.min(system.getMaxFileDescriptorCount(), Integer.MAX_VALUE)
                : Integer.MAX_VALUE;
    }
}
