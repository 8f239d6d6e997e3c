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
        if (connections == 0
                && ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            connections = system.getMaxFileDescriptorCount() / 4 * 3;
        }
        return connections == 0 ? Integer.MAX_VALUE : (int) Math.min(connections, Integer.MAX_VALUE);
    }
}
