package org.fuchsiatrail.internal.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;

/**
 * Exchanges the work that routers have in flight on upstreams, so that each router knows the sum over all.
 *
 * <p>In a full mesh every router tells all others its own work. In a tree a router tells its parent the work of its
 * subtree, the roots tell each other that of their domains, and each router tells its children that of the fleet. The
 * size of these updates is limited: they contain the largest changes.
 */
final class WorkExchange {

    /** The most requests that a peer may have in flight on an upstream. */
    private static final int MAXIMUM_REQUESTS = 1_000_000;

    /** The most tokens that the requests of a peer may have. */
    private static final long MAXIMUM_TOKENS = 1L << 40;

    private static final WorkSource.RestOfFleet REST_OF_FLEET = new WorkSource.RestOfFleet();

    private final ForwardingContext context;
    private final UpstreamTable upstreams;
    private final WorkOutlet upward = new WorkOutlet();
    private final WorkOutlet downward = new WorkOutlet();
    /** The router that told the work of each other failure domain last. */
    private final Map<FailureDomain, EntryVmId> tellerByDomain = new HashMap<>();

    private Optional<EntryVmId> parent = Optional.empty();
    private List<PeerMessage.UpstreamWork> lastSentWork = List.of();

    WorkExchange(ForwardingContext context, UpstreamTable upstreams) {
        this.context = context;
        this.upstreams = upstreams;
    }

    /** Adds all own work to an update for a full mesh. */
    void writeOwn(ForwardingNewsBuilder update) {
        lastSentWork = WorkSums.ownWork(upstreams.all());
        update.work(lastSentWork);
    }

    /** Sets this router's parent in the tree. */
    void setParent(Optional<EntryVmId> newParent) {
        if (!newParent.equals(parent)) {
            parent = newParent;
            upstreams.all().forEach(upstream -> upstream.removePeerWork(REST_OF_FLEET));
        }
        if (parent.isPresent()) {
            // The parent's sum contains the work of the other domains.
            tellerByDomain
                    .keySet()
                    .forEach(domain -> upstreams
                            .all()
                            .forEach(upstream -> upstream.removePeerWork(new WorkSource.Domain(domain))));
            tellerByDomain.clear();
        }
    }

    /**
     * Adds changes of the subtree's work, which is that of the failure domain at the root, and returns their number.
     */
    int writeUpward(ForwardingNewsBuilder update, List<EntryVm> recipients, int maximumChanges) {
        List<PeerMessage.WorkChange> changes = upward.select(
                recipients, WorkSums.subtreeWork(upstreams.all(), context.now()), maximumChanges, context.now());
        if (parent.isPresent()) {
            update.subtreeWork(changes);
        } else {
            update.domainWork(changes);
        }
        return changes.size();
    }

    /** Adds changes of the work of all routers, and returns their number. */
    int writeDownward(ForwardingNewsBuilder update, List<EntryVm> recipients, int maximumChanges) {
        List<PeerMessage.WorkChange> changes = downward.select(
                recipients, WorkSums.fleetWork(upstreams.all(), context.now()), maximumChanges, context.now());
        update.fleetWork(changes);
        return changes.size();
    }

    /** Applies the work that a peer tells. */
    void receive(EntryVmId from, PeerMessage.ForwardingNews update) {
        if (!update.workByChanges()) {
            replaceWork(from, update);
            return;
        }
        FailureDomain domain = update.vm().failureDomain();
        if (parent.equals(Optional.of(from))) {
            confirm(REST_OF_FLEET);
            apply(REST_OF_FLEET, update.fleetWork());
        } else if (domain.equals(ownDomain())) {
            confirm(new WorkSource.Router(from));
            apply(new WorkSource.Router(from), update.subtreeWork());
        } else if (parent.isEmpty()) {
            receiveDomainWork(from, new WorkSource.Domain(domain), update.domainWork());
        }
    }

    private void receiveDomainWork(EntryVmId from, WorkSource.Domain source, List<PeerMessage.WorkChange> changes) {
        if (!changes.isEmpty() && !from.equals(tellerByDomain.put(source.domain(), from))) {
            upstreams.all().forEach(upstream -> upstream.removePeerWork(source));
        }
        if (from.equals(tellerByDomain.get(source.domain()))) {
            confirm(source);
            apply(source, changes);
        }
    }

    private void confirm(WorkSource source) {
        upstreams.all().forEach(upstream -> upstream.confirmPeerWork(source, context.now()));
    }

    private void apply(WorkSource source, List<PeerMessage.WorkChange> changes) {
        if (changes.isEmpty()) {
            return;
        }
        Map<Integer, UpstreamState> upstreamsByKey = new HashMap<>();
        upstreams.all().forEach(upstream -> upstreamsByKey.put(upstream.key(), upstream));
        for (PeerMessage.WorkChange change : changes) {
            UpstreamState upstream = upstreamsByKey.get(change.upstream());
            if (upstream != null) {
                record(source, upstream, change);
            }
        }
    }

    private void record(WorkSource source, UpstreamState upstream, PeerMessage.WorkChange change) {
        PeerMessage.UpstreamWork work = toWork(upstream, change);
        if (source.equals(REST_OF_FLEET)) {
            work = WorkSums.add(work, toWork(upstream, upward.lastTold(upstream.key())), -1);
        }
        upstream.recordPeerWork(source, bounded(work), context.now());
    }

    private static PeerMessage.UpstreamWork toWork(UpstreamState upstream, PeerMessage.WorkChange change) {
        return new PeerMessage.UpstreamWork(
                upstream.id(),
                change.running(),
                change.bound(),
                change.promptTokens(),
                change.shortPromptTokens(),
                change.memoryTokens());
    }

    private void replaceWork(EntryVmId from, PeerMessage.ForwardingNews update) {
        replaceWork(new WorkSource.Router(from), update.work());
        for (PeerMessage.DomainWork domainWork : update.domains()) {
            replaceWork(
                    new WorkSource.Domain(domainWork.domain()),
                    domainWork.domain().equals(ownDomain())
                            ? WorkSums.subtract(domainWork.work(), lastSentWork)
                            : domainWork.work());
        }
    }

    private void replaceWork(WorkSource source, List<PeerMessage.UpstreamWork> work) {
        upstreams.all().forEach(upstream -> upstream.removePeerWork(source));
        for (PeerMessage.UpstreamWork upstreamWork : work) {
            upstreams
                    .find(upstreamWork.upstream())
                    .ifPresent(upstream -> upstream.recordPeerWork(source, bounded(upstreamWork), context.now()));
        }
    }

    /** Returns work of which the sum over all peers does not overflow. */
    private static PeerMessage.UpstreamWork bounded(PeerMessage.UpstreamWork work) {
        return new PeerMessage.UpstreamWork(
                work.upstream(),
                Math.clamp(work.running(), 0, MAXIMUM_REQUESTS),
                Math.clamp(work.bound(), 0, MAXIMUM_REQUESTS),
                Math.clamp(work.promptTokens(), 0, MAXIMUM_TOKENS),
                Math.clamp(work.shortPromptTokens(), 0, MAXIMUM_TOKENS),
                Math.clamp(work.memoryTokens(), 0, MAXIMUM_TOKENS));
    }

    private FailureDomain ownDomain() {
        return context.settings().self().failureDomain();
    }
}
