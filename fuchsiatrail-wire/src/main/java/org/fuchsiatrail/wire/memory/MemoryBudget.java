package org.fuchsiatrail.wire.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.Clock;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/**
 * Bounds what a process keeps for all its callers and upstreams together. What exceeds the budget is stopped, as {@link
 * HoldingDecision} says. Used on one event loop.
 */
public final class MemoryBudget {

    /** The part of a machine's memory that connections may keep. */
    private static final int MACHINE_PART = 8;

    /** The size of the arrays in which bodies are gathered, in bytes. */
    public static final int SEGMENT_BYTES = 64 * 1024;

    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** The part of the budget that each direction of a socket may queue in the kernel. */
    private static final int SOCKET_BUFFER_PART = 512;

    private static final int SMALLEST_SOCKET_BUFFER = 16 * 1024;
    private static final int LARGEST_SOCKET_BUFFER = 64 * 1024;

    /** The part of the budget by which holdings grow before it is decided again that none can be stopped. */
    private static final int DECISION_PART = 128;

    private final long budgetBytes;
    private final int maximumConnections;
    private final Clock clock;
    private final RouterMetrics metrics;
    private final List<Holding> holdings = new ArrayList<>();
    private final ArrayDeque<byte[]> unusedSegments = new ArrayDeque<>();
    private long heldBytes;
    /** What may be held until the next decision, as nothing could be stopped at the last one. */
    private long undecidedBytes;

    private int connections;
    private long stoppedSinceLog;
    private long nextLogAtMillis = Long.MIN_VALUE;

    private MemoryBudget(long budgetBytes, int maximumConnections, Clock clock, RouterMetrics metrics) {
        this.budgetBytes = budgetBytes;
        this.maximumConnections = maximumConnections;
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Creates the budget of a machine.
     *
     * @param machineBytes the memory of the machine
     * @param maximumConnections the callers' connections that may be open at once
     * @param clock the steady clock
     * @param metrics counts what is stopped
     * @return the budget
     */
    public static MemoryBudget ofMachine(
            long machineBytes, int maximumConnections, Clock clock, RouterMetrics metrics) {
        return ofBytes(machineBytes / MACHINE_PART, maximumConnections, clock, metrics);
    }

    /**
     * Creates a budget.
     *
     * @param budgetBytes what all connections may keep together
     * @param maximumConnections the callers' connections that may be open at once
     * @param clock the steady clock
     * @param metrics counts what is stopped
     * @return the budget
     */
    public static MemoryBudget ofBytes(long budgetBytes, int maximumConnections, Clock clock, RouterMetrics metrics) {
        MemoryBudget budget = new MemoryBudget(budgetBytes, maximumConnections, clock, metrics);
        metrics.gauge("memory.held-bytes", () -> budget.heldBytes);
        metrics.gauge("memory.budget-bytes", () -> budget.budgetBytes);
        return budget;
    }

    /**
     * Creates a budget that bounds nothing and may be used on several event loops.
     *
     * @return the budget
     */
    public static MemoryBudget unlimited() {
        return new MemoryBudget(Long.MAX_VALUE, Integer.MAX_VALUE, () -> 0, null);
    }

    private boolean isUnlimited() {
        return metrics == null;
    }

    /** The state of a holding, which says whether it can be stopped. */
    public enum State {
        /** Nothing is read or waits; the connection can be closed if there are too many. */
        IDLE,
        /** A request or an answer is not complete, or a response is not read; it can be stopped. */
        UNFINISHED,
        /** A complete request waits or is in work; it cannot be stopped, as it may have run. */
        IN_WORK
    }

    /** What one connection or attempt keeps. */
    public final class Holding {
        private final Runnable stop;
        /** Closes a connection at once; null for an attempt. */
        private final Runnable close;

        private int index = -1;
        private long bytes;
        private State state = State.IN_WORK;
        private long sinceMillis;

        private Holding(Runnable stop, Runnable close) {
            this.stop = stop;
            this.close = close;
        }

        /**
         * States what is kept now; this or another holding may be stopped for it.
         *
         * @param keptBytes the bytes
         * @param newState the state; the age of a holding counts from its last change
         */
        public void keep(long keptBytes, State newState) {
            if (index < 0) {
                return;
            }
            heldBytes += keptBytes - bytes;
            boolean grown = keptBytes > bytes;
            bytes = keptBytes;
            if (newState != state) {
                sinceMillis = clock.nowMillis();
                state = newState;
                undecidedBytes = 0;
            }
            if (grown && heldBytes > Math.max(budgetBytes, undecidedBytes)) {
                stopSome();
            }
        }

        /** Gives back what is kept, for good. */
        public void close() {
            if (index < 0) {
                return;
            }
            heldBytes -= bytes;
            Holding last = holdings.remove(holdings.size() - 1);
            if (last != this) {
                holdings.set(index, last);
                last.index = index;
            }
            index = -1;
        }
    }

    /**
     * Begins the holding of an attempt, which keeps nothing yet.
     *
     * @param stop stops what is kept and gives it up
     * @return the holding
     */
    public Holding open(Runnable stop) {
        return register(new Holding(stop, null));
    }

    /**
     * Begins the holding of a connection, which keeps nothing yet.
     *
     * @param stop stops what is kept and gives it up; the connection may stay open for an answer
     * @param close closes the connection at once
     * @return the holding
     */
    public Holding openConnection(Runnable stop, Runnable close) {
        return register(new Holding(stop, close));
    }

    private Holding register(Holding holding) {
        if (!isUnlimited()) {
            holding.index = holdings.size();
            holdings.add(holding);
        }
        return holding;
    }

    /**
     * Counts a connection that opens. If there are too many, the one that has done nothing for longest is closed.
     *
     * @return whether the connection is admitted; false if there are too many, and requests are in work on all of them
     */
    public boolean connectionOpened() {
        if (isUnlimited()) {
            return true;
        }
        connections++;
        if (connections <= maximumConnections) {
            return true;
        }
        Optional<Holding> oldest = holdings.stream()
                .filter(holding -> holding.close != null && holding.state != State.IN_WORK)
                .min(Comparator.comparingLong(holding -> holding.sinceMillis));
        oldest.ifPresent(holding -> {
            release(holding);
            holding.close.run();
        });
        report("connections", 1);
        return oldest.isPresent();
    }

    /**
     * Returns the size of the queues of the system for each connection, which count as memory too.
     *
     * @return the size for each direction in bytes, or 0 to leave it to the system
     */
    public int socketBufferBytes() {
        return isUnlimited()
                ? 0
                : (int) Math.clamp(budgetBytes / SOCKET_BUFFER_PART, SMALLEST_SOCKET_BUFFER, LARGEST_SOCKET_BUFFER);
    }

    /**
     * Returns whether a request that is complete may be begun. One that is begun cannot be stopped any more.
     *
     * @param bytes the bytes that it keeps, which are stated already
     * @return false if the budget is exceeded, for a small request if it is far exceeded
     */
    public boolean canTake(long bytes) {
        return heldBytes <= budgetBytes
                || (bytes < HoldingDecision.SMALL_BYTES && heldBytes <= budgetBytes + budgetBytes / 4);
    }

    /** Counts a connection that has closed. */
    public void connectionClosed() {
        if (!isUnlimited()) {
            connections--;
        }
    }

    /**
     * Takes an array for a part of a body, which another body may have used: arrays that live for a while and are
     * dropped would fill the heap until it is collected as a whole.
     *
     * @return an array of {@link #SEGMENT_BYTES} with any content
     */
    public byte[] takeSegment() {
        byte[] segment = isUnlimited() ? null : unusedSegments.poll();
        return segment == null ? new byte[SEGMENT_BYTES] : segment;
    }

    /**
     * Returns an array that was taken.
     *
     * @param segment the array, which is not used by the caller any more
     */
    public void returnSegment(byte[] segment) {
        if (!isUnlimited() && (long) unusedSegments.size() * SEGMENT_BYTES < budgetBytes / 2) {
            unusedSegments.push(segment);
        }
    }

    private void stopSome() {
        List<HoldingDecision.Stoppable> stoppable = new ArrayList<>();
        for (Holding holding : holdings) {
            if (holding.state == State.UNFINISHED) {
                stoppable.add(new HoldingDecision.Stoppable(holding.index, holding.bytes, holding.sinceMillis));
            }
        }
        switch (HoldingDecision.decide(budgetBytes, heldBytes, stoppable)) {
            case HoldingDecision.Decision.Keep ignored -> undecidedBytes = heldBytes + budgetBytes / DECISION_PART;
            case HoldingDecision.Decision.Stop decision -> {
                List<Holding> stopped =
                        decision.indexes().stream().map(holdings::get).toList();
                stopped.forEach(this::stop);
                report("memory", stopped.size());
            }
        }
    }

    private void stop(Holding holding) {
        release(holding);
        holding.stop.run();
    }

    private void release(Holding holding) {
        heldBytes -= holding.bytes;
        holding.bytes = 0;
        holding.state = State.IN_WORK;
    }

    private void report(String kind, int count) {
        metrics.count(kind + ".stopped", count);
        stoppedSinceLog += count;
        long nowMillis = clock.nowMillis();
        if (nowMillis < nextLogAtMillis) {
            return;
        }
        nextLogAtMillis = nowMillis + LOG_INTERVAL_MILLIS;
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("stopped", stoppedSinceLog);
        fields.put("heldBytes", heldBytes);
        fields.put("budgetBytes", budgetBytes);
        fields.put("connections", connections);
        LogLines.info("callers", "Budget exceeded; the oldest requests and unread responses are stopped.", fields);
        stoppedSinceLog = 0;
    }
}
