package org.fuchsiatrail.internal.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.fuchsiatrail.ClaimOutcome;
import org.fuchsiatrail.ClaimVerdict;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.LedgerClaim;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.internal.membership.MembershipSystem;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.StoreCalls;

/**
 * Grants claims on calls that must run at most once, and records their outcomes.
 *
 * <p>Claims and outcomes of a shard are sent to its preferred writer, a router selected by rendezvous hashing, which
 * batches them into few writes. When the preferred writer does not respond, this router writes the shard itself; the
 * compare-and-swap on the shard head resolves conflicts.
 */
public final class LedgerSystem {

    /** The timeout after which this router stops waiting for the preferred writer. */
    private static final long PREFERRED_WRITER_TIMEOUT_MILLIS = 700;

    /** The maximum number of times an outcome is sent to the preferred writer before this router writes it itself. */
    private static final int MAXIMUM_OUTCOME_SENDS = 2;

    private final RouterContext context;
    private final MembershipSystem membership;
    private final List<LedgerShard> shards = new ArrayList<>();
    private final Map<String, RemoteClaim> remoteClaims = new LinkedHashMap<>();
    private final Map<String, UnrecordedOutcome> unrecordedOutcomes = new LinkedHashMap<>();

    /**
     * Creates the ledger without any pending claims.
     *
     * @param context the router's context
     * @param store the client of the platform's store
     * @param membership the peers
     */
    public LedgerSystem(RouterContext context, StoreCalls store, MembershipSystem membership) {
        this.context = context;
        this.membership = membership;
        for (int number = 0; number < context.settings().ledgerShards(); number++) {
            shards.add(new LedgerShard(context, store, number));
        }
    }

    private record RemoteClaim(LedgerClaim claim, long fallBackAtMillis, Consumer<ClaimVerdict> callback) {}

    private static final class UnrecordedOutcome {
        private final ClaimOutcome outcome;
        private long nextSendMillis;
        private int sendCount;
        private boolean writtenLocally;

        private UnrecordedOutcome(ClaimOutcome outcome) {
            this.outcome = outcome;
        }
    }

    /**
     * Submits a claim on a call.
     *
     * @param claim the claim
     * @param traceparent the W3C trace context of the call
     * @param callback receives the verdict; called at most once
     */
    public void claim(LedgerClaim claim, String traceparent, Consumer<ClaimVerdict> callback) {
        Optional<EntryVmId> writer = preferredWriter(claim.entryKey());
        boolean sent = writer.isPresent()
                && !writer.get().equals(context.selfId())
                && membership.send(writer.get(), new PeerMessage.AskClaim(claim, traceparent));
        if (sent) {
            long fallBackAt = context.now() + PREFERRED_WRITER_TIMEOUT_MILLIS;
            remoteClaims.put(claim.claimId(), new RemoteClaim(claim, fallBackAt, callback));
        } else {
            shard(claim.entryKey()).claim(claim, callback);
        }
    }

    /**
     * Records the outcome of a claimed call; retried until it is written.
     *
     * @param outcome the outcome
     */
    public void end(ClaimOutcome outcome) {
        UnrecordedOutcome unrecorded = new UnrecordedOutcome(outcome);
        unrecordedOutcomes.put(outcome.claimId(), unrecorded);
        remoteClaims.remove(outcome.claimId());
        send(unrecorded);
    }

    private void send(UnrecordedOutcome unrecorded) {
        Optional<EntryVmId> writer = preferredWriter(unrecorded.outcome.entryKey());
        boolean sent = writer.isPresent()
                && !writer.get().equals(context.selfId())
                && unrecorded.sendCount < MAXIMUM_OUTCOME_SENDS
                && membership.send(writer.get(), new PeerMessage.TellEnd(unrecorded.outcome));
        unrecorded.sendCount++;
        unrecorded.nextSendMillis = context.now() + PREFERRED_WRITER_TIMEOUT_MILLIS;
        if (!sent) {
            unrecorded.writtenLocally = true;
            shard(unrecorded.outcome.entryKey())
                    .end(unrecorded.outcome, () -> unrecordedOutcomes.remove(unrecorded.outcome.claimId()));
        }
    }

    /**
     * Decides a claim for a peer and sends it the verdict.
     *
     * @param from the peer
     * @param message the claim
     */
    public void receive(EntryVmId from, PeerMessage.AskClaim message) {
        LedgerClaim claim = message.claim();
        shard(claim.entryKey())
                .claim(claim, verdict -> membership.send(from, new PeerMessage.TellClaim(claim.claimId(), verdict)));
    }

    /**
     * Receives the verdict of the preferred writer on a claim.
     *
     * @param message the verdict
     * @return false when this router no longer waits for the verdict
     */
    public boolean receive(PeerMessage.TellClaim message) {
        RemoteClaim pending = remoteClaims.remove(message.claimId());
        if (pending == null) {
            return false;
        }
        pending.callback().accept(message.verdict());
        return true;
    }

    /**
     * Writes the outcome of a peer's claim and confirms it to the peer.
     *
     * @param from the peer
     * @param message the outcome
     */
    public void receive(EntryVmId from, PeerMessage.TellEnd message) {
        ClaimOutcome outcome = message.end();
        shard(outcome.entryKey())
                .end(outcome, () -> membership.send(from, new PeerMessage.EndRecorded(outcome.claimId())));
    }

    /**
     * Receives the confirmation of the preferred writer that an outcome is written.
     *
     * @param message the confirmation
     */
    public void receive(PeerMessage.EndRecorded message) {
        UnrecordedOutcome unrecorded = unrecordedOutcomes.get(message.claimId());
        if (unrecorded != null && !unrecorded.writtenLocally) {
            unrecordedOutcomes.remove(message.claimId());
        }
    }

    /** Writes pending claims and outcomes, and takes over those whose preferred writer does not respond. */
    public void run() {
        takeOverClaims();
        for (UnrecordedOutcome unrecorded : List.copyOf(unrecordedOutcomes.values())) {
            if (!unrecorded.writtenLocally && context.now() >= unrecorded.nextSendMillis) {
                send(unrecorded);
            }
        }
        shards.forEach(LedgerShard::run);
    }

    private void takeOverClaims() {
        Map<String, RemoteClaim> timedOut = new HashMap<>();
        remoteClaims.values().removeIf(remote -> {
            boolean isTimedOut = context.now() >= remote.fallBackAtMillis();
            if (isTimedOut) {
                timedOut.put(remote.claim().claimId(), remote);
            }
            return isTimedOut;
        });
        timedOut.values().forEach(remote -> {
            context.count("ledger.taken-over-claims");
            shard(remote.claim().entryKey()).claim(remote.claim(), remote.callback());
        });
    }

    /**
     * Returns whether no claim or outcome is pending.
     *
     * @return true when the ledger does not delay a shutdown of the router
     */
    public boolean isIdle() {
        return remoteClaims.isEmpty()
                && unrecordedOutcomes.isEmpty()
                && shards.stream().allMatch(LedgerShard::isIdle);
    }

    private Optional<EntryVmId> preferredWriter(String entryKey) {
        return membership.owner("ledger/" + shardNumber(entryKey));
    }

    private LedgerShard shard(String entryKey) {
        return shards.get(shardNumber(entryKey));
    }

    private int shardNumber(String entryKey) {
        return Math.floorMod(entryKey.hashCode(), shards.size());
    }
}
