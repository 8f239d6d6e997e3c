package org.fuchsiatrail.standins.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Watches what the kernel accounts to a process: its resident memory, the queues of its sockets and its descriptors.
 * The queue of a connection that the process has closed counts until the kernel has delivered or dropped it.
 */
public final class ProcessUse implements AutoCloseable {

    private static final long INTERVAL_MILLIS = 50;
    private static final int LOCAL_ADDRESS = 1;
    private static final int QUEUES = 4;
    private static final int INODE = 9;
    private static final int HEXADECIMAL = 16;
    private static final long MEGABYTE = 1024 * 1024;

    private final Process process;
    private final Set<Integer> ports;
    private final Thread watcher;
    private volatile boolean closed;
    private volatile long mostQueuedBytes;
    private volatile long mostBytes;

    /**
     * Starts to watch a process.
     *
     * @param process the process
     * @param ports the ports on which it listens
     */
    public ProcessUse(Process process, List<Integer> ports) {
        this.process = process;
        this.ports = Set.copyOf(ports);
        watcher = Thread.ofPlatform().daemon().start(this::watch);
    }

    private void watch() {
        try {
            while (!closed && process.isAlive()) {
                long queued = queuedBytes();
                mostQueuedBytes = Math.max(mostQueuedBytes, queued);
                mostBytes = Math.max(mostBytes, queued + status("VmRSS:") * 1024);
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the most memory that the process used at one moment.
     *
     * @return the sum of its resident memory and of the queues of its sockets, in megabytes, rounded up
     */
    public long mostMegabytes() {
        return roundUp(Math.max(mostBytes, status("VmHWM:") * 1024));
    }

    /**
     * Returns the most bytes that stood in the queues of its sockets at one moment.
     *
     * @return the size in megabytes, rounded up
     */
    public long mostQueuedMegabytes() {
        return roundUp(mostQueuedBytes);
    }

    private static long roundUp(long bytes) {
        return (bytes + MEGABYTE - 1) / MEGABYTE;
    }

    /**
     * Returns how many descriptors the process has open.
     *
     * @return a count
     */
    public int descriptors() {
        return openFiles().size();
    }

    private List<Path> openFiles() {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return open.toList();
        } catch (IOException | UncheckedIOException e) {
            // The process has ended.
            return List.of();
        }
    }

    private Set<String> socketInodes() {
        Set<String> inodes = new HashSet<>();
        for (Path file : openFiles()) {
            try {
                String target = Files.readSymbolicLink(file).toString();
                if (target.startsWith("socket:[")) {
                    inodes.add(target.substring("socket:[".length(), target.length() - 1));
                }
            } catch (IOException e) {
                // The descriptor was closed meanwhile.
                continue;
            }
        }
        return inodes;
    }

    private long queuedBytes() {
        Set<String> inodes = socketInodes();
        long bytes = 0;
        for (String table : List.of("tcp", "tcp6")) {
            for (String line : lines(Path.of("/proc/net", table))) {
                String[] fields = line.strip().split("\\s+");
                if (fields.length <= INODE || !fields[LOCAL_ADDRESS].contains(":")) {
                    continue;
                }
                String port = fields[LOCAL_ADDRESS].substring(fields[LOCAL_ADDRESS].indexOf(':') + 1);
                if (ports.contains(Integer.parseInt(port, HEXADECIMAL)) || inodes.contains(fields[INODE])) {
                    String[] queues = fields[QUEUES].split(":");
                    bytes += Long.parseLong(queues[0], HEXADECIMAL) + Long.parseLong(queues[1], HEXADECIMAL);
                }
            }
        }
        return bytes;
    }

    private long status(String field) {
        return lines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith(field))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }

    private static List<String> lines(Path file) {
        try {
            return Files.readAllLines(file);
        } catch (IOException e) {
            // The process has ended, or the machine has no such table.
            return List.of();
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
