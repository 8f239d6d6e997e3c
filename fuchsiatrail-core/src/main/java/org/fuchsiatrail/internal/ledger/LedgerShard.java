package org.fuchsiatrail.internal.ledger;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiatrail.ClaimEnd;
import org.fuchsiatrail.ClaimVerdict;
import org.fuchsiatrail.LedgerClaim;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.Documents;
import org.fuchsiatrail.internal.store.StoreCalls;

/**
 * Writes one shard of the ledger: gathers claims and ends while a write is under way, and puts them into the next one.
 *
 * <p>Any number of routers may write the same shard; the compare-and-swap on its head decides, so preferring one writer
 * only saves failed writes. After a failed or unanswered write the head is read again before anything is decided.
 */
final class LedgerShard {

    /** The age up to which a cached head may answer that a call is running, in milliseconds. */
    private static final long FRESH_HEAD_MILLIS = 200;

    /** The wait after the store did not answer, in milliseconds. */
    private static final long STORE_BACKOFF_MILLIS = 100;

    /** The most claims and ends in one write. */
    private static final int LARGEST_BATCH = 400;

    private final RouterContext context;
    private final StoreCalls store;
    private final String headKey;
    private final SegmentIndex index;
    private final SegmentSealer sealer;
    private final Map<String, Waiting> claims = new LinkedHashMap<>();
    private final Map<String, WaitingEnd> ends = new LinkedHashMap<>();
    private LedgerHead head;
    private long version;
    private long headReadMillis;
    private boolean busy;
    private long nextWriteMillis;

    LedgerShard(RouterContext context, StoreCalls store, int number) {
        this.context = context;
        this.store = store;
        this.headKey = "fuchsiatrail/ledger/" + number + "/head";
        this.index = new SegmentIndex(context, store);
        this.sealer = new SegmentSealer(context, store, index, "fuchsiatrail/ledger/" + number + "/segment/");
    }

    private record Waiting(LedgerClaim claim, Consumer<ClaimVerdict> receiver) {}

    private record WaitingEnd(ClaimEnd end, Runnable receiver) {}

    void claim(LedgerClaim claim, Consumer<ClaimVerdict> receiver) {
        claims.put(claim.claimId(), new Waiting(claim, receiver));
        run();
    }

    void end(ClaimEnd end, Runnable receiver) {
        ends.put(end.claimId(), new WaitingEnd(end, receiver));
        if (end.kind() == ClaimEnd.Kind.RELEASED) {
            claims.remove(end.claimId());
        }
        run();
    }

    boolean isIdle() {
        return claims.isEmpty() && ends.isEmpty() && !busy;
    }

    void run() {
        refuseExpired();
        boolean nothing = claims.isEmpty() && ends.isEmpty();
        if (busy || nothing || context.now() < nextWriteMillis) {
            return;
        }
        if (head == null) {
            readHead();
        } else if (index.covers(head.segments())) {
            write();
        }
    }

    private void refuseExpired() {
        List<Waiting> expired = new ArrayList<>();
        claims.values().removeIf(waiting -> {
            boolean late = context.now() >= waiting.claim().expiresAtMillis();
            if (late) {
                expired.add(waiting);
            }
            return late;
        });
        expired.forEach(
                waiting -> waiting.receiver().accept(new ClaimVerdict.Undecided("no answer before the deadline")));
    }

    private void readHead() {
        busy = true;
        store.call(new StoreRequest.Read(headKey), result -> {
            busy = false;
            switch (result) {
                case StoreResult.Found found -> takeHead(found);
                case StoreResult.Missing missing -> keepHead(LedgerHead.empty(), 0);
                default -> backOff();
            }
            run();
        });
    }

    private void takeHead(StoreResult.Found found) {
        try {
            keepHead(Documents.read(found.value(), LedgerHead.class), found.version());
        } catch (UncheckedIOException e) {
            context.log("ledger", "Damaged head; calls are refused.", "key", headKey, "reason", e.getMessage());
            backOff();
        }
    }

    private void keepHead(LedgerHead fresh, long freshVersion) {
        head = fresh;
        version = freshVersion;
        headReadMillis = context.now();
    }

    private void backOff() {
        head = null;
        nextWriteMillis =
                context.now() + STORE_BACKOFF_MILLIS + context.random().nextInt((int) STORE_BACKOFF_MILLIS);
        context.count("ledger.store-failures");
    }

    private void write() {
        Batch batch = gather();
        if (batch.changed) {
            swap(batch);
            return;
        }
        if (batch.sayRunning && context.now() - headReadMillis > FRESH_HEAD_MILLIS) {
            head = null;
            readHead();
            return;
        }
        answer(batch);
    }

    private Batch gather() {
        Batch batch = new Batch(head, context.now());
        sealer.apply(batch.entries, batch.segments);
        batch.changed |= sealer.hasSealed();
        for (WaitingEnd waiting : ends.values()) {
            if (batch.size() < LARGEST_BATCH) {
                batch.end(waiting.end());
            }
        }
        for (Waiting waiting : claims.values()) {
            LedgerClaim claim = waiting.claim();
            if (batch.size() >= LARGEST_BATCH) {
                break;
            }
            String segment = batch.entries.containsKey(claim.entryKey()) ? null : index.segmentOf(claim.entryKey());
            if (segment == null) {
                batch.claim(claim);
            } else {
                answerFromSegment(waiting, segment);
            }
        }
        return batch;
    }

    private void answerFromSegment(Waiting waiting, String segment) {
        LedgerClaim claim = waiting.claim();
        index.read(segment, claim.entryKey(), entry -> {
            if (entry != null && claims.remove(claim.claimId()) != null) {
                waiting.receiver().accept(entry.verdictFor(claim, context.now()));
            }
        });
    }

    private void swap(Batch batch) {
        busy = true;
        nextWriteMillis = context.now() + context.settings().ledgerWriteIntervalMillis();
        LedgerHead next = batch.toHead();
        context.count("ledger.writes");
        store.call(new StoreRequest.CompareAndSwap(headKey, version, Documents.write(next)), result -> {
            busy = false;
            if (result instanceof StoreResult.Swapped swapped) {
                keepHead(next, swapped.version());
                sealer.written(next);
                answer(batch);
                sealer.sealIfLarge(next);
            } else if (result instanceof StoreResult.Conflict) {
                context.count("ledger.conflicts");
                head = null;
                nextWriteMillis = context.now();
            } else {
                backOff();
            }
            run();
        });
    }

    private void answer(Batch batch) {
        batch.ended.forEach(claimId -> {
            WaitingEnd waiting = ends.remove(claimId);
            if (waiting != null) {
                waiting.receiver().run();
            }
        });
        batch.verdicts.forEach((claimId, verdict) -> {
            Waiting waiting = claims.remove(claimId);
            if (waiting != null) {
                waiting.receiver().accept(verdict);
            }
        });
    }

    /** The next content of the head, and what to say when it is written. */
    private static final class Batch {
        private final Map<String, LedgerEntry> entries = new LinkedHashMap<>();
        private final List<LedgerHead.Segment> segments;
        private final Map<String, ClaimVerdict> verdicts = new LinkedHashMap<>();
        private final List<String> ended = new ArrayList<>();
        private final long now;
        private boolean changed;
        private boolean sayRunning;

        Batch(LedgerHead head, long now) {
            this.now = now;
            this.segments = new ArrayList<>(head.segments());
            head.entries().forEach(entry -> entries.put(entry.key(), entry));
        }

        int size() {
            return verdicts.size() + ended.size();
        }

        void end(ClaimEnd end) {
            ended.add(end.claimId());
            LedgerEntry entry = entries.get(end.entryKey());
            boolean own = entry != null && entry.claimId().equals(end.claimId());
            if (!own || entry.state() == LedgerEntry.State.ANSWERED) {
                return;
            }
            changed = true;
            if (end.kind() == ClaimEnd.Kind.RELEASED) {
                entries.remove(end.entryKey());
            } else {
                entries.put(end.entryKey(), entry.ended(end, now));
            }
        }

        void claim(LedgerClaim claim) {
            LedgerEntry entry = entries.get(claim.entryKey());
            if (entry == null) {
                entries.put(claim.entryKey(), LedgerEntry.claimed(claim));
                verdicts.put(claim.claimId(), new ClaimVerdict.Granted());
                changed = true;
                return;
            }
            ClaimVerdict verdict = entry.verdictFor(claim, now);
            sayRunning |= verdict instanceof ClaimVerdict.Running;
            verdicts.put(claim.claimId(), verdict);
        }

        LedgerHead toHead() {
            List<LedgerEntry> kept = new ArrayList<>(entries.size());
            for (LedgerEntry entry : entries.values()) {
                kept.add(entry.isAbandoned(now) ? entry.abandoned(now) : entry);
            }
            return new LedgerHead(kept, segments);
        }
    }
}
