package org.fuchsiatrail.internal.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.fuchsiatrail.ClaimEnd;
import org.fuchsiatrail.ClaimVerdict;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.LedgerClaim;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.internal.membership.MembershipSystem;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.StoreCalls;

/**
 * Claims the right to run a call that must not be repeated, and records how it ended.
 *
 * <p>Claims and ends of a shard go to the router that rendezvous hashing prefers for it, which groups them into few
 * writes. When that router does not answer, this one writes the shard itself; the store's compare-and-swap decides.
 */
public final class LedgerSystem {

    /** How long the preferred router may take before this one writes itself, in milliseconds. */
    private static final long PREFERRED_PATIENCE_MILLIS = 700;

    /** Ends sent to the preferred router before this one writes them itself. */
    private static final int END_SENDS = 2;

    private final RouterContext context;
    private final MembershipSystem membership;
    private final List<LedgerShard> shards = new ArrayList<>();
    private final Map<String, RemoteClaim> remoteClaims = new LinkedHashMap<>();
    private final Map<String, OpenEnd> openEnds = new LinkedHashMap<>();

    /**
     * Creates a ledger that has written nothing yet.
     *
     * @param context the router's context
     * @param store the calls to the platform's store
     * @param membership the peers
     */
    public LedgerSystem(RouterContext context, StoreCalls store, MembershipSystem membership) {
        this.context = context;
        this.membership = membership;
        for (int number = 0; number < context.settings().ledgerShards(); number++) {
            shards.add(new LedgerShard(context, store, number));
        }
    }

    private record RemoteClaim(LedgerClaim claim, long fallBackAtMillis, Consumer<ClaimVerdict> receiver) {}

    private static final class OpenEnd {
        private final ClaimEnd end;
        private long nextSendMillis;
        private int sends;
        private boolean local;

        private OpenEnd(ClaimEnd end) {
            this.end = end;
        }
    }

    /**
     * Claims a call.
     *
     * @param claim the claim
     * @param traceparent the W3C trace context of the call
     * @param receiver takes the verdict, once
     */
    public void claim(LedgerClaim claim, String traceparent, Consumer<ClaimVerdict> receiver) {
        Optional<EntryVmId> preferred = preferred(claim.entryKey());
        boolean remote = preferred.isPresent()
                && !preferred.get().equals(context.selfId())
                && membership.send(preferred.get(), new PeerMessage.AskClaim(claim, traceparent));
        if (remote) {
            long fallBackAt = context.now() + PREFERRED_PATIENCE_MILLIS;
            remoteClaims.put(claim.claimId(), new RemoteClaim(claim, fallBackAt, receiver));
        } else {
            shard(claim.entryKey()).claim(claim, receiver);
        }
    }

    /**
     * Records how a claimed call ended; repeated until it is written.
     *
     * @param end the end
     */
    public void end(ClaimEnd end) {
        OpenEnd open = new OpenEnd(end);
        openEnds.put(end.claimId(), open);
        remoteClaims.remove(end.claimId());
        send(open);
    }

    private void send(OpenEnd open) {
        Optional<EntryVmId> preferred = preferred(open.end.entryKey());
        boolean remote = preferred.isPresent()
                && !preferred.get().equals(context.selfId())
                && open.sends < END_SENDS
                && membership.send(preferred.get(), new PeerMessage.TellEnd(open.end));
        open.sends++;
        open.nextSendMillis = context.now() + PREFERRED_PATIENCE_MILLIS;
        if (!remote) {
            open.local = true;
            shard(open.end.entryKey()).end(open.end, () -> openEnds.remove(open.end.claimId()));
        }
    }

    /**
     * Takes a peer's claim.
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
     * Takes the answer to a claim.
     *
     * @param message the answer
     * @return false when nobody here waits for it any more
     */
    public boolean receive(PeerMessage.TellClaim message) {
        RemoteClaim asked = remoteClaims.remove(message.claimId());
        if (asked == null) {
            return false;
        }
        asked.receiver().accept(message.verdict());
        return true;
    }

    /**
     * Takes the end of a peer's claim.
     *
     * @param from the peer
     * @param message the end
     */
    public void receive(EntryVmId from, PeerMessage.TellEnd message) {
        ClaimEnd end = message.end();
        shard(end.entryKey()).end(end, () -> membership.send(from, new PeerMessage.EndRecorded(end.claimId())));
    }

    /**
     * Takes the news that an end is written.
     *
     * @param message the news
     */
    public void receive(PeerMessage.EndRecorded message) {
        OpenEnd open = openEnds.get(message.claimId());
        if (open != null && !open.local) {
            openEnds.remove(message.claimId());
        }
    }

    /** Writes what waits, and takes over from preferred routers that do not answer. */
    public void run() {
        takeOverClaims();
        for (OpenEnd open : List.copyOf(openEnds.values())) {
            if (!open.local && context.now() >= open.nextSendMillis) {
                send(open);
            }
        }
        shards.forEach(LedgerShard::run);
    }

    private void takeOverClaims() {
        Map<String, RemoteClaim> late = new HashMap<>();
        remoteClaims.values().removeIf(remote -> {
            boolean over = context.now() >= remote.fallBackAtMillis();
            if (over) {
                late.put(remote.claim().claimId(), remote);
            }
            return over;
        });
        late.values().forEach(remote -> {
            context.count("ledger.taken-over-claims");
            shard(remote.claim().entryKey()).claim(remote.claim(), remote.receiver());
        });
    }

    /**
     * Tells whether nothing waits to be written.
     *
     * @return true when the router may stop
     */
    public boolean isIdle() {
        return remoteClaims.isEmpty() && openEnds.isEmpty() && shards.stream().allMatch(LedgerShard::isIdle);
    }

    private Optional<EntryVmId> preferred(String entryKey) {
        return membership.owner("ledger/" + number(entryKey));
    }

    private LedgerShard shard(String entryKey) {
        return shards.get(number(entryKey));
    }

    private int number(String entryKey) {
        return Math.floorMod(entryKey.hashCode(), shards.size());
    }
}
