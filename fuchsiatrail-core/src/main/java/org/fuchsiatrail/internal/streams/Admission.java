package org.fuchsiatrail.internal.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.internal.limits.FairQueue;
import org.fuchsiatrail.internal.limits.RetryReservations;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.routing.Candidate;
import org.fuchsiatrail.internal.routing.EngineChooser;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;
import org.fuchsiatrail.internal.upstreams.UpstreamSystem;

/**
 * Admits requests, queues those that have to wait in fair order, and refuses at once those that cannot be served in
 * time.
 *
 * <p>The service rate, at which work leaves the queue, is measured. The wait of a new request is predicted from its
 * customer's portion of that rate and the customer's queued and reserved work.
 */
final class Admission {

    /** The interval over which the service rate is measured, in milliseconds. */
    private static final long RATE_INTERVAL_MILLIS = 1_000;

    /** The weight of the latest interval in the moving average of the service rate. */
    private static final double RATE_SMOOTHING_FACTOR = 0.3;

    private final RouterContext context;
    private final EngineChooser chooser;
    private final UpstreamSystem upstreams;
    private final FairQueue<ChatRow> queue = new FairQueue<>();
    private final RetryReservations reservations = new RetryReservations();
    private double measuredTokensPerSecond;
    private long startedTokens;
    private long intervalStartMillis;
    private boolean hadBacklogThisInterval;

    Admission(RouterContext context, EngineChooser chooser, UpstreamSystem upstreams) {
        this.context = context;
        this.chooser = chooser;
        this.upstreams = upstreams;
    }

    Optional<CallerAnswer.Refusal> admit(ChatRow row, Intent.Customer customer) {
        row.hasReservation = reservations.redeem(row.fingerprint, context.now());
        long waitMillis = predictedWaitMillis(row, customer);
        Optional<Candidate> candidate = chooser.choose(row.model, row.chain, row.matches, row.excluded);
        long firstTokenMillis = candidate.map(Candidate::firstTokenMillis).orElse(0L);
        boolean missesDeadline = context.now() + waitMillis + firstTokenMillis > row.firstTokenDeadlineMillis;
        if (missesDeadline && !row.answerStarted() && !row.hasReservation) {
            long excessMillis = Math.max(0, waitMillis + firstTokenMillis - row.call.deadlineMillis());
            return Optional.of(overloadRefusal(row, queue.portion(row.customer, customer.share()), excessMillis));
        }
        queue.add(row.customer, customer.share(), priority(row, customer), cost(row), row.hasReservation, row);
        return Optional.empty();
    }

    RetryReservations reservations() {
        return reservations;
    }

    void enqueueAtFront(ChatRow row, Intent.Customer customer) {
        queue.add(row.customer, customer.share(), customer.priority(), cost(row), true, row);
    }

    private static int priority(ChatRow row, Intent.Customer customer) {
        return Math.max(customer.priority(), row.call.priority());
    }

    private static long cost(ChatRow row) {
        int cachedTokens = row.matches.stream()
                .mapToInt(match -> match.checkpoints() * PrefixChain.CHECKPOINT_TOKENS)
                .max()
                .orElse(0);
        return Math.max(1, row.chain.tokens() - cachedTokens) + row.call.maximumTokens();
    }

    private long predictedWaitMillis(ChatRow row, Intent.Customer customer) {
        long queuedCost = queue.waitingCost(row.customer);
        double rate = estimatedTokensPerSecond() * queue.portion(row.customer, customer.share());
        long drainMillis = queuedCost == 0 ? 0 : (long) (queuedCost * 1000 / rate);
        long reservedMillis = queuedCost == 0 ? 0 : reservations.reservedMillis(row.customer, context.now());
        return Math.max(drainMillis, reservedMillis);
    }

    void refuseExpired(BiConsumer<ChatRow, CallerAnswer> finish) {
        if (queue.isEmpty()) {
            return;
        }
        List<ChatRow> expired = new ArrayList<>();
        queue.removeIf(row -> {
            boolean noLongerWaiting = row.state != ChatRow.State.WAITING;
            boolean deadlinePassed = !noLongerWaiting
                    && !row.answerStarted()
                    && !row.suspect
                    && row.attempts == 0
                    && context.now() >= row.firstTokenDeadlineMillis;
            if (deadlinePassed) {
                expired.add(row);
            }
            return noLongerWaiting || deadlinePassed;
        });
        expired.forEach(row -> finish.accept(row, overloadRefusal(row)));
    }

    CallerAnswer.Refusal overloadRefusal(ChatRow row) {
        double portion = queue.portion(row.customer);
        long drainMillis = (long) (queue.waitingCost(row.customer) * 1000 / (estimatedTokensPerSecond() * portion));
        return overloadRefusal(row, portion, drainMillis);
    }

    private CallerAnswer.Refusal overloadRefusal(ChatRow row, double portion, long drainMillis) {
        long serviceMillis = (long) (cost(row) * 1000 / (estimatedTokensPerSecond() * portion));
        long retryAfterMillis =
                reservations.reserve(row.customer, row.fingerprint, context.now(), drainMillis, serviceMillis);
        return new CallerAnswer.Refusal(ResultCode.OVERLOADED, "", retryAfterMillis);
    }

    /** Returns whether a request that was never started would get its first token after its deadline. */
    boolean missesFirstTokenDeadline(ChatRow row, Candidate candidate) {
        boolean neverStarted = !row.answerStarted() && !row.suspect && row.attempts == 0;
        return neverStarted && context.now() + candidate.firstTokenMillis() > row.firstTokenDeadlineMillis;
    }

    void startQueued(Predicate<ChatRow> start) {
        updateRate();
        if (!queue.isEmpty()) {
            queue.offer(start);
        }
        hadBacklogThisInterval |= !queue.isEmpty();
    }

    boolean hasCapacity(Candidate candidate) {
        return candidate.queueMillis() <= context.settings().engineWindowMillis()
                && candidate.engine().hasStreamRoom();
    }

    void recordStart(ChatRow row) {
        startedTokens += cost(row);
    }

    private void updateRate() {
        long elapsedMillis = context.now() - intervalStartMillis;
        if (elapsedMillis < RATE_INTERVAL_MILLIS) {
            return;
        }
        double intervalRate = startedTokens * 1000.0 / elapsedMillis;
        if (hadBacklogThisInterval && startedTokens > 0) {
            measuredTokensPerSecond =
                    estimatedTokensPerSecond() + RATE_SMOOTHING_FACTOR * (intervalRate - estimatedTokensPerSecond());
        } else if (intervalRate > estimatedTokensPerSecond()) {
            measuredTokensPerSecond = intervalRate;
        }
        startedTokens = 0;
        hadBacklogThisInterval = false;
        intervalStartMillis = context.now();
    }

    private double estimatedTokensPerSecond() {
        if (measuredTokensPerSecond > 0) {
            return measuredTokensPerSecond;
        }
        long prefillTokensPerSecond = 0;
        for (UpstreamRow engine : upstreams.engines()) {
            prefillTokensPerSecond += engine.prefillTokensPerSecond();
        }
        return Math.max(1_000, prefillTokensPerSecond);
    }
}
