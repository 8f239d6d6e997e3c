package org.fuchsiatrail.internal.ledger;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiatrail.ClaimOutcome;
import org.fuchsiatrail.ClaimVerdict;
import org.fuchsiatrail.LedgerClaim;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.Documents;
import org.fuchsiatrail.internal.store.StoreCalls;

/**
 * Writes one shard of the ledger. Claims and outcomes that arrive while a write is in flight are batched into the next
 * write.
 *
 * <p>Any number of routers may write the same shard. The compare-and-swap on the shard head keeps it consistent; the
 * preferred writer only reduces the number of conflicts. After a failed or unanswered write the head is read again
 * before any claim is decided.
 */
final class LedgerShard {

    /** The maximum age of a cached head on whose basis a call is reported as running. */
    private static final long MAXIMUM_HEAD_AGE_MILLIS = 200;

    /** The delay after a failed store call, with a random addition of up to the same length. */
    private static final long STORE_BACKOFF_MILLIS = 100;

    /** The maximum number of claims and outcomes in one write. */
    private static final int MAXIMUM_BATCH_SIZE = 400;

    private final RouterContext context;
    private final StoreCalls store;
    private final String headKey;
    private final SegmentIndex index;
    private final SegmentSealer sealer;
    private final Map<String, PendingClaim> pendingClaims = new LinkedHashMap<>();
    private final Map<String, PendingOutcome> pendingOutcomes = new LinkedHashMap<>();
    private LedgerHead head;
    private long version;
    private long headReadMillis;
    private boolean storeCallInFlight;
    private long nextWriteMillis;

    LedgerShard(RouterContext context, StoreCalls store, int number) {
        this.context = context;
        this.store = store;
        this.headKey = "fuchsiatrail/ledger/" + number + "/head";
        this.index = new SegmentIndex(context, store);
        this.sealer = new SegmentSealer(context, store, index, "fuchsiatrail/ledger/" + number + "/segment/");
    }

    private record PendingClaim(LedgerClaim claim, Consumer<ClaimVerdict> callback) {}

    private record PendingOutcome(ClaimOutcome outcome, Runnable callback) {}

    void claim(LedgerClaim claim, Consumer<ClaimVerdict> callback) {
        pendingClaims.put(claim.claimId(), new PendingClaim(claim, callback));
        run();
    }

    void end(ClaimOutcome outcome, Runnable callback) {
        pendingOutcomes.put(outcome.claimId(), new PendingOutcome(outcome, callback));
        if (outcome.kind() == ClaimOutcome.Kind.RELEASED) {
            pendingClaims.remove(outcome.claimId());
        }
        run();
    }

    boolean isIdle() {
        return pendingClaims.isEmpty() && pendingOutcomes.isEmpty() && !storeCallInFlight;
    }

    void run() {
        rejectExpiredClaims();
        boolean nothingPending = pendingClaims.isEmpty() && pendingOutcomes.isEmpty();
        if (storeCallInFlight || nothingPending || context.now() < nextWriteMillis) {
            return;
        }
        if (head == null) {
            readHead();
        } else if (index.ensureLoaded(head.segments())) {
            write();
        }
    }

    private void rejectExpiredClaims() {
        List<PendingClaim> expired = new ArrayList<>();
        pendingClaims.values().removeIf(pending -> {
            boolean isExpired = context.now() >= pending.claim().expiresAtMillis();
            if (isExpired) {
                expired.add(pending);
            }
            return isExpired;
        });
        expired.forEach(
                pending -> pending.callback().accept(new ClaimVerdict.Undecided("no answer before the deadline")));
    }

    private void readHead() {
        storeCallInFlight = true;
        store.call(new StoreRequest.Read(headKey), result -> {
            storeCallInFlight = false;
            switch (result) {
                case StoreResult.Found found -> parseHead(found);
                case StoreResult.Missing missing -> updateHead(LedgerHead.empty(), 0);
                default -> backOff();
            }
            run();
        });
    }

    private void parseHead(StoreResult.Found found) {
        try {
            updateHead(Documents.read(found.value(), LedgerHead.class), found.version());
        } catch (UncheckedIOException e) {
            context.log(
                    "ledger",
                    "Shard head is damaged; claims wait until it can be read or their deadline passes.",
                    "key",
                    headKey,
                    "reason",
                    e.getMessage());
            backOff();
        }
    }

    private void updateHead(LedgerHead newHead, long newVersion) {
        head = newHead;
        version = newVersion;
        headReadMillis = context.now();
    }

    private void backOff() {
        head = null;
        nextWriteMillis =
                context.now() + STORE_BACKOFF_MILLIS + context.random().nextInt((int) STORE_BACKOFF_MILLIS);
        context.count("ledger.store-failures");
    }

    private void write() {
        Batch batch = buildBatch();
        if (batch.changed) {
            writeBatch(batch);
            return;
        }
        if (batch.reportsRunning && context.now() - headReadMillis > MAXIMUM_HEAD_AGE_MILLIS) {
            head = null;
            readHead();
            return;
        }
        deliverResults(batch);
    }

    private Batch buildBatch() {
        Batch batch = new Batch(head, context.now());
        sealer.apply(batch.entries, batch.segments);
        batch.changed |= sealer.hasUnreferencedSegment();
        for (PendingOutcome pending : pendingOutcomes.values()) {
            if (batch.size() < MAXIMUM_BATCH_SIZE) {
                batch.end(pending.outcome());
            }
        }
        for (PendingClaim pending : pendingClaims.values()) {
            LedgerClaim claim = pending.claim();
            if (batch.size() >= MAXIMUM_BATCH_SIZE) {
                break;
            }
            String segment = batch.entries.containsKey(claim.entryKey()) ? null : index.segmentOf(claim.entryKey());
            if (segment == null) {
                batch.claim(claim);
            } else {
                answerFromSegment(pending, segment);
            }
        }
        return batch;
    }

    private void answerFromSegment(PendingClaim pending, String segment) {
        LedgerClaim claim = pending.claim();
        index.readEntry(segment, claim.entryKey(), entry -> {
            if (entry != null && pendingClaims.remove(claim.claimId()) != null) {
                pending.callback().accept(entry.verdictFor(claim, context.now()));
            }
        });
    }

    private void writeBatch(Batch batch) {
        storeCallInFlight = true;
        nextWriteMillis = context.now() + context.settings().ledgerWriteIntervalMillis();
        LedgerHead next = batch.toHead();
        context.count("ledger.writes");
        store.call(new StoreRequest.CompareAndSwap(headKey, version, Documents.write(next)), result -> {
            storeCallInFlight = false;
            if (result instanceof StoreResult.Swapped swapped) {
                updateHead(next, swapped.version());
                sealer.headWritten(next);
                deliverResults(batch);
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

    private void deliverResults(Batch batch) {
        batch.endedClaimIds.forEach(claimId -> {
            PendingOutcome pending = pendingOutcomes.remove(claimId);
            if (pending != null) {
                pending.callback().run();
            }
        });
        batch.verdicts.forEach((claimId, verdict) -> {
            PendingClaim pending = pendingClaims.remove(claimId);
            if (pending != null) {
                pending.callback().accept(verdict);
            }
        });
    }

    /** The next content of the shard head, and the verdicts and outcomes to report once it is written. */
    private static final class Batch {
        private final Map<String, LedgerEntry> entries = new LinkedHashMap<>();
        private final List<LedgerHead.Segment> segments;
        private final Map<String, ClaimVerdict> verdicts = new LinkedHashMap<>();
        private final List<String> endedClaimIds = new ArrayList<>();
        private final long now;
        private boolean changed;
        private boolean reportsRunning;

        Batch(LedgerHead head, long now) {
            this.now = now;
            this.segments = new ArrayList<>(head.segments());
            head.entries().forEach(entry -> entries.put(entry.key(), entry));
        }

        int size() {
            return verdicts.size() + endedClaimIds.size();
        }

        void end(ClaimOutcome outcome) {
            endedClaimIds.add(outcome.claimId());
            LedgerEntry entry = entries.get(outcome.entryKey());
            boolean belongsToClaim = entry != null && entry.claimId().equals(outcome.claimId());
            if (!belongsToClaim || entry.state() == LedgerEntry.State.ANSWERED) {
                return;
            }
            changed = true;
            if (outcome.kind() == ClaimOutcome.Kind.RELEASED) {
                entries.remove(outcome.entryKey());
            } else {
                entries.put(outcome.entryKey(), entry.withOutcome(outcome, now));
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
            reportsRunning |= verdict instanceof ClaimVerdict.Running;
            verdicts.put(claim.claimId(), verdict);
        }

        LedgerHead toHead() {
            List<LedgerEntry> updated = new ArrayList<>(entries.size());
            for (LedgerEntry entry : entries.values()) {
                updated.add(entry.isAbandoned(now) ? entry.withUnknownOutcome(now) : entry);
            }
            return new LedgerHead(updated, segments);
        }
    }
}
