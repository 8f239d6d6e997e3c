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
 * Lets requests in, holds those that wait in fair order, and refuses at once those that cannot be served in time.
 *
 * <p>The rate at which waiting work leaves the queue is measured; a customer's part of it and its waiting and reserved
 * work tell how long a new request would wait.
 */
final class Admission {

    /** The time over which the service rate is measured, in milliseconds. */
    private static final long RATE_INTERVAL_MILLIS = 1_000;

    /** How far one interval moves the measured rate. */
    private static final double RATE_STEP = 0.3;

    private final RouterContext context;
    private final EngineChooser chooser;
    private final UpstreamSystem upstreams;
    private final FairQueue<ChatRow> queue = new FairQueue<>();
    private final RetryReservations reservations = new RetryReservations();
    private double tokensPerSecond;
    private long startedTokens;
    private long intervalStartMillis;
    private boolean waitedThisInterval;

    Admission(RouterContext context, EngineChooser chooser, UpstreamSystem upstreams) {
        this.context = context;
        this.chooser = chooser;
        this.upstreams = upstreams;
    }

    Optional<CallerAnswer.Refusal> admit(ChatRow row, Intent.Customer customer) {
        row.reserved = reservations.redeem(row.fingerprint, context.now());
        long wait = predictedWait(row, customer);
        Optional<Candidate> best = chooser.choose(row.model, row.chain, row.matches, row.excluded);
        long firstToken = best.map(Candidate::firstTokenMillis).orElse(0L);
        boolean late = context.now() + wait + firstToken > row.firstTokenByMillis;
        if (late && !row.begun() && !row.reserved) {
            long excess = Math.max(0, wait + firstToken - row.call.deadlineMillis());
            return Optional.of(overloaded(row, queue.portion(row.customer, customer.share()), excess));
        }
        queue.add(row.customer, customer.share(), priority(row, customer), cost(row), row.reserved, row);
        return Optional.empty();
    }

    RetryReservations reservations() {
        return reservations;
    }

    void enqueueFirst(ChatRow row, Intent.Customer customer) {
        queue.add(row.customer, customer.share(), customer.priority(), cost(row), true, row);
    }

    private static int priority(ChatRow row, Intent.Customer customer) {
        return Math.max(customer.priority(), row.call.priority());
    }

    private static long cost(ChatRow row) {
        int held = row.matches.stream()
                .mapToInt(match -> match.checkpoints() * PrefixChain.CHECKPOINT_TOKENS)
                .max()
                .orElse(0);
        return Math.max(1, row.chain.tokens() - held) + row.call.maximumTokens();
    }

    private long predictedWait(ChatRow row, Intent.Customer customer) {
        long waiting = queue.waitingCost(row.customer);
        double rate = rate() * queue.portion(row.customer, customer.share());
        long drain = waiting == 0 ? 0 : (long) (waiting * 1000 / rate);
        long reserved = waiting == 0 ? 0 : reservations.reservedMillis(row.customer, context.now());
        return Math.max(drain, reserved);
    }

    void refuseHopeless(BiConsumer<ChatRow, CallerAnswer> finish) {
        if (queue.isEmpty()) {
            return;
        }
        List<ChatRow> hopeless = new ArrayList<>();
        queue.removeIf(row -> {
            boolean over = row.state != ChatRow.State.WAITING;
            boolean late = !over
                    && !row.begun()
                    && !row.suspect
                    && row.attempts == 0
                    && context.now() >= row.firstTokenByMillis;
            if (late) {
                hopeless.add(row);
            }
            return over || late;
        });
        hopeless.forEach(row -> finish.accept(row, overloaded(row)));
    }

    CallerAnswer.Refusal overloaded(ChatRow row) {
        double portion = queue.portion(row.customer);
        long drain = (long) (queue.waitingCost(row.customer) * 1000 / (rate() * portion));
        return overloaded(row, portion, drain);
    }

    private CallerAnswer.Refusal overloaded(ChatRow row, double portion, long drainMillis) {
        long service = (long) (cost(row) * 1000 / (rate() * portion));
        long retryAfter = reservations.reserve(row.customer, row.fingerprint, context.now(), drainMillis, service);
        return new CallerAnswer.Refusal(ResultCode.OVERLOADED, "", retryAfter);
    }

    /** Tells whether a request that nobody has begun would get its first token after its deadline. */
    boolean comesTooLate(ChatRow row, Candidate candidate) {
        boolean fresh = !row.begun() && !row.suspect && row.attempts == 0;
        return fresh && context.now() + candidate.firstTokenMillis() > row.firstTokenByMillis;
    }

    void offer(Predicate<ChatRow> start) {
        measureRate();
        if (!queue.isEmpty()) {
            queue.offer(start);
        }
        waitedThisInterval |= !queue.isEmpty();
    }

    boolean hasRoom(Candidate candidate) {
        return candidate.queueMillis() <= context.settings().engineWindowMillis()
                && candidate.engine().hasStreamRoom();
    }

    void started(ChatRow row) {
        startedTokens += cost(row);
    }

    private void measureRate() {
        long elapsed = context.now() - intervalStartMillis;
        if (elapsed < RATE_INTERVAL_MILLIS) {
            return;
        }
        double measured = startedTokens * 1000.0 / elapsed;
        if (waitedThisInterval && startedTokens > 0) {
            tokensPerSecond = rate() + RATE_STEP * (measured - rate());
        } else if (measured > rate()) {
            tokensPerSecond = measured;
        }
        startedTokens = 0;
        waitedThisInterval = false;
        intervalStartMillis = context.now();
    }

    private double rate() {
        if (tokensPerSecond > 0) {
            return tokensPerSecond;
        }
        long sum = 0;
        for (UpstreamRow engine : upstreams.engines()) {
            sum += engine.prefillTokensPerSecond();
        }
        return Math.max(1_000, sum);
    }
}
