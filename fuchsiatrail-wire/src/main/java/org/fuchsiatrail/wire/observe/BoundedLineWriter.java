package org.fuchsiatrail.wire.observe;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Writes lines to a stream on a dedicated thread. Callers never block: a line that does not fit into the bounded queue
 * is dropped and counted.
 */
final class BoundedLineWriter {

    /** How long lines are collected before they are written as one batch, in nanoseconds. */
    private static final long BATCH_DELAY_NANOS = 200_000_000;

    private final PrintStream stream;
    private final ArrayBlockingQueue<String> lines;
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition batchWritten = lock.newCondition();
    private final AtomicInteger flushes = new AtomicInteger();
    private volatile long written;

    private BoundedLineWriter(PrintStream stream, int capacity) {
        this.stream = stream;
        this.lines = new ArrayBlockingQueue<>(capacity);
        this.thread = new Thread(this::run, "log-writer");
    }

    static BoundedLineWriter start(PrintStream stream, int capacity) {
        BoundedLineWriter writer = new BoundedLineWriter(stream, capacity);
        writer.thread.setDaemon(true);
        writer.thread.start();
        return writer;
    }

    void write(String line) {
        if (lines.offer(line)) {
            accepted.incrementAndGet();
        } else {
            dropped.incrementAndGet();
        }
    }

    long dropped() {
        return dropped.get();
    }

    /**
     * Waits until all lines accepted so far are written. When the time runs out, those that are not are counted as
     * dropped.
     */
    void flush(long timeoutMillis) {
        long target = accepted.get();
        flushes.incrementAndGet();
        LockSupport.unpark(thread);
        long unwritten = awaitWritten(target, timeoutMillis);
        flushes.decrementAndGet();
        if (unwritten > 0) {
            dropped.addAndGet(unwritten);
        }
    }

    private long awaitWritten(long target, long timeoutMillis) {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
            while (written < target && remainingNanos > 0) {
                remainingNanos = batchWritten.awaitNanos(remainingNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
        return Math.max(0, target - written);
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
            // The queue may have used up the permit of a flush.
            if (flushes.get() == 0) {
                LockSupport.parkNanos(BATCH_DELAY_NANOS);
            }
            lines.drainTo(batch);
            writeAll(batch);
            recordWritten(batch.size());
            batch.clear();
        }
    }

    private void writeAll(List<String> batch) {
        byte[] bytes = String.join("", batch).getBytes(StandardCharsets.UTF_8);
        stream.write(bytes, 0, bytes.length);
        stream.flush();
    }

    private void recordWritten(int count) {
        lock.lock();
        try {
            written += count;
            batchWritten.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
