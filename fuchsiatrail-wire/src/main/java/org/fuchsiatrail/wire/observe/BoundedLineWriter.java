package org.fuchsiatrail.wire.observe;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Writes lines to a stream on a dedicated thread. Callers never block: a line that does not fit into the bounded queue
 * is dropped and counted.
 */
final class BoundedLineWriter {

    /** How long lines are collected before they are written as one batch, in nanoseconds. */
    private static final long BATCH_DELAY_NANOS = 200_000_000;

    private final PrintStream stream;
    private final ArrayBlockingQueue<String> lines;
    private final AtomicLong dropped = new AtomicLong();

    private BoundedLineWriter(PrintStream stream, int capacity) {
        this.stream = stream;
        this.lines = new ArrayBlockingQueue<>(capacity);
    }

    static BoundedLineWriter start(PrintStream stream, int capacity) {
        BoundedLineWriter writer = new BoundedLineWriter(stream, capacity);
        Thread thread = new Thread(writer::run, "log-writer");
        thread.setDaemon(true);
        thread.start();
        return writer;
    }

    void write(String line) {
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    long dropped() {
        return dropped.get();
    }

    void flush() {
        List<String> batch = new ArrayList<>();
        lines.drainTo(batch);
        writeAll(batch);
    }

    private void run() {
        List<String> batch = new ArrayList<>();
        while (!Thread.currentThread().isInterrupted()) {
            try {
                batch.add(lines.take());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            LockSupport.parkNanos(BATCH_DELAY_NANOS);
            lines.drainTo(batch);
            writeAll(batch);
            batch.clear();
        }
    }

    private synchronized void writeAll(List<String> batch) {
        if (!batch.isEmpty()) {
            byte[] bytes = String.join("", batch).getBytes(StandardCharsets.UTF_8);
            stream.write(bytes, 0, bytes.length);
            stream.flush();
        }
    }
}
