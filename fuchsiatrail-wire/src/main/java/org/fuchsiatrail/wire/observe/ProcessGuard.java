package org.fuchsiatrail.wire.observe;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;

/**
 * Ends the process, with a line in the log, in a state that it cannot recover from: an event loop that has ended or
 * hangs, or a thread that an error has ended. Whoever runs the process starts it anew.
 */
public final class ProcessGuard implements AutoCloseable {

    /** The exit status of a process that the guard ends. */
    public static final int EXIT_STATUS = 70;

    private static final long CHECK_INTERVAL_MILLIS = 5_000;

    /** The checks in a row without progress after which a loop hangs; a suspended process makes no checks. */
    private static final int HANGING_CHECKS = 6;

    private static final long LOG_MILLIS = 1_000;

    private final List<WatchedLoop> loops = new ArrayList<>();
    private final Consumer<String> endProcess;
    private final Thread thread;
    private volatile boolean closed;

    private ProcessGuard(List<EventLoopGroup> groups, long intervalMillis, Consumer<String> endProcess) {
        this.endProcess = endProcess;
        groups.forEach(group -> group.forEach(executor -> loops.add(new WatchedLoop(executor))));
        thread = new Thread(() -> checkUntilClosed(intervalMillis), "process-guard");
        thread.setDaemon(true);
    }

    /**
     * Starts a guard of this process, which also ends it when an error ends any thread.
     *
     * @param groups the event loops without which the process is of no use
     * @return the guard, to be closed before the event loops are shut down
     */
    public static ProcessGuard start(List<EventLoopGroup> groups) {
        Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> {
            if (cause instanceof Error) {
                endProcess("Thread " + thread.getName() + " ended by " + cause);
            } else {
                LogLines.error("router", "Thread ended.", Map.of("thread", thread.getName()), cause);
            }
        });
        return start(groups, CHECK_INTERVAL_MILLIS, ProcessGuard::endProcess);
    }

    static ProcessGuard start(List<EventLoopGroup> groups, long intervalMillis, Consumer<String> endProcess) {
        ProcessGuard guard = new ProcessGuard(groups, intervalMillis, endProcess);
        guard.thread.start();
        return guard;
    }

    /**
     * Ends the process at once, with a line in the log.
     *
     * @param reason the state that it cannot recover from
     */
    public static void endProcess(String reason) {
        try {
            LogLines.error("router", "Process ends: it cannot recover.", new IllegalStateException(reason));
            LogLines.flush(LOG_MILLIS);
        } finally {
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
    }

    private void checkUntilClosed(long intervalMillis) {
        try {
            while (!closed) {
                for (WatchedLoop loop : loops) {
                    String failure = loop.check();
                    if (!failure.isEmpty() && !closed) {
                        endProcess.accept(failure);
                        return;
                    }
                }
                TimeUnit.MILLISECONDS.sleep(intervalMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static final class WatchedLoop {
        private final EventExecutor loop;
        private volatile boolean progressed = true;
        private int checksWithoutProgress;

        WatchedLoop(EventExecutor loop) {
            this.loop = loop;
        }

        /** Returns why the loop is of no use any more, or an empty string. */
        String check() {
            if (!progressed) {
                checksWithoutProgress++;
                return checksWithoutProgress < HANGING_CHECKS ? "" : "An event loop hangs.";
            }
            checksWithoutProgress = 0;
            progressed = false;
            try {
                loop.execute(() -> progressed = true);
                return "";
            } catch (RejectedExecutionException e) {
                return "An event loop has ended.";
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
