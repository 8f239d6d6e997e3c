package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.ForwardingNewsBuilder;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.internal.limits.CustomerLimits;

/** Collects this router's observations and sends them, with what it passes on for others, to its neighbours. */
final class PeerUpdateSender {

    /** How long a peer's report that an engine switches weights is valid, in milliseconds; three heartbeats or more. */
    static final long SWITCHING_VALIDITY_MILLIS = 1_500;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final UpstreamTable upstreams;
    private final CrashTracker crashes;
    private final PromptPartTracker promptParts;
    private final RequestLimits requestLimits;
    private final StreamVersions streamVersions;
    private final ItemRelay itemRelay;
    private final WorkExchange work;
    private final GossipBuffer buffer;
    private final CustomerLimits customerLimits;
    private final UpdateAllowance allowance = new UpdateAllowance();
    private WeightsRollout rollout;

    PeerUpdateSender(
            ForwardingContext context,
            StoreReplica replica,
            UpstreamTable upstreams,
            CrashProtection crashProtection,
            RequestLimits requestLimits,
            StreamVersions streamVersions,
            ItemRelay itemRelay,
            WorkExchange work,
            GossipBuffer buffer,
            CustomerLimits customerLimits) {
        this.context = context;
        this.replica = replica;
        this.upstreams = upstreams;
        this.crashes = crashProtection.tracker();
        this.promptParts = crashProtection.promptParts();
        this.requestLimits = requestLimits;
        this.streamVersions = streamVersions;
        this.itemRelay = itemRelay;
        this.work = work;
        this.buffer = buffer;
        this.customerLimits = customerLimits;
    }

    void setRollout(WeightsRollout weightsRollout) {
        rollout = weightsRollout;
    }

    /** Returns whether there are observations that peers rely on at once. */
    boolean hasUnsentObservations() {
        return crashes.hasUnsent()
                || promptParts.hasUnsent()
                || requestLimits.hasUnsent()
                || upstreams.pauses().hasUnsent()
                || upstreams.leaving().hasUnsent()
                || upstreams.dark().hasUnsent();
    }

    /** Moves this router's observations to the buffers. */
    void collectObservations() {
        List<PeerMessage.SeenCrash> unsentCrashes = crashes.drainUnsentCrashes();
        List<PeerMessage.SeenCrash> crashClearances = crashes.drainUnsentClearances();
        List<Long> partClearances = promptParts.drainUnsentClearances();
        List<PeerMessage.NamedLimit> limits = requestLimits.drainUnsent();
        List<PeerMessage.SeenPause> pauses = upstreams.pauses().drainUnsent();
        List<UpstreamId> leaving = upstreams.leaving().drainUnsent();
        List<PeerMessage.DarkUpstream> dark = upstreams.dark().drainUnsent(context.now());
        List<PeerMessage.StartedStreams> streams = streamVersions.origins().drainUnsent();
        List<PeerMessage.Switching> switching = rollout.switchingEngines().stream()
                .map(engine -> new PeerMessage.Switching(engine, SWITCHING_VALIDITY_MILLIS))
                .toList();
        buffer.add(GossipBuffer.Destination.UPWARD_AND_DOWNWARD, updates -> {
            updates.crashes.addAll(unsentCrashes);
            updates.clearedCrashes.addAll(crashClearances);
            updates.clearedParts.addAll(partClearances);
            updates.limits.addAll(limits);
            updates.pauses.addAll(pauses);
            updates.leaving.addAll(leaving);
            updates.dark.addAll(dark);
            updates.switching.addAll(switching);
        });
        buffer.upward().startedStreams.addAll(streams);
    }

    /** Sends all updates to all other routers of a small fleet. */
    void sendToMesh(List<EntryVm> peers) {
        GossipBuffer.Updates updates = buffer.upward();
        if (!peers.isEmpty()) {
            Map<Boolean, List<EntryVm>> peersByLocality = peers.stream()
                    .collect(Collectors.partitioningBy(
                            peer -> peer.failureDomain().equals(ownDomain())));
            for (boolean sameDomain : new boolean[] {true, false}) {
                ForwardingNewsBuilder update = newUpdate().weights(unpublishedWeightVersions());
                work.writeOwn(update);
                customerLimits.writeOwn(update, context.now());
                updates.writeTo(update);
                update.startedStreams(updates.mergedStreams());
                updates.bulk.writeAll(update, sameDomain);
                send(peersByLocality.get(sameDomain), update);
            }
        }
        updates.clear();
        updates.bulk.clear();
        buffer.discardDownward(context.now());
    }

    /**
     * Sends updates to the parent and to other failure domains.
     *
     * @param heartbeat whether the update also tells work and caches, as far as the allowance permits
     */
    void sendUpward(GossipTopology.Recipients recipients, boolean heartbeat) {
        GossipBuffer.Updates updates = buffer.upward();
        updates.prepareFor(recipients.upward(), context.now());
        ForwardingNewsBuilder update = newUpdate()
                .weights(updates.dueWeights(unpublishedWeightVersions(), context.now()))
                .startedStreams(updates.mergedStreams())
                .workByChanges();
        updates.writeTo(update);
        List<EntryVm> receivers = recipients.parent().map(List::of).orElse(recipients.remoteRelays());
        if (recipients.parent().isPresent()) {
            send(recipients.tried(), update);
            send(recipients.remoteRelays(), update);
        } else {
            updates.bulk.discardReports();
        }
        if (heartbeat) {
            int contentBytes = allowance.contentBytes(recipients, context.now());
            int changes = work.writeUpward(update, receivers, UpdateAllowance.workChanges(contentBytes));
            int useBytes = customerLimits.writeUpward(update, context.now());
            addBulk(updates, update, contentBytes - UpdateAllowance.workBytes(changes) - useBytes);
        }
        send(receivers, update);
        updates.clear();
    }

    /** Sends updates to the children; a heartbeat also tells work and caches, as far as the allowance permits. */
    void sendDownward(GossipTopology.Recipients recipients, boolean heartbeat) {
        if (recipients.children().isEmpty()) {
            buffer.discardDownward(context.now());
            return;
        }
        GossipBuffer.Updates updates = buffer.downward();
        updates.prepareFor(recipients.children(), context.now());
        ForwardingNewsBuilder update = newUpdate()
                .weights(updates.dueWeights(unpublishedWeightVersions(), context.now()))
                .workByChanges();
        updates.writeTo(update);
        if (heartbeat) {
            int contentBytes = allowance.contentBytes(recipients, context.now());
            int maximumChanges = UpdateAllowance.workChanges(contentBytes);
            int changes = work.writeDownward(update, recipients.children(), maximumChanges);
            int useBytes = customerLimits.writeDownward(update, context.now());
            addBulk(updates, update, contentBytes - UpdateAllowance.workBytes(changes) - useBytes);
        }
        send(recipients.children(), update);
        updates.clear();
    }

    private void addBulk(GossipBuffer.Updates updates, ForwardingNewsBuilder update, int bytes) {
        updates.bulk.moveTo(update, bytes);
        int dropped = updates.bulk.dropExcess();
        for (int count = 0; count < dropped; count++) {
            context.count("peers.waiting-updates-dropped");
        }
    }

    private ForwardingNewsBuilder newUpdate() {
        ForwardingNewsBuilder update =
                itemRelay.newUpdate().targetAges(replica.targetHistory().reports());
        customerLimits.writeMark(update);
        return update;
    }

    private void send(List<EntryVm> recipients, ForwardingNewsBuilder builder) {
        PeerMessage.ForwardingNews update = builder.build();
        allowance.recordSent(update, recipients.size(), context.now());
        for (EntryVm peer : recipients) {
            context.emit(new ForwardingOutput.SendToPeer(peer.id(), peer.address(), update));
        }
    }

    private FailureDomain ownDomain() {
        return context.settings().self().failureDomain();
    }

    /** Weight versions that are newer than those in the engines' store entries. */
    private List<PeerMessage.SeenWeights> unpublishedWeightVersions() {
        List<PeerMessage.SeenWeights> seen = new ArrayList<>();
        for (UpstreamState engine : upstreams.all()) {
            engine.weightVersions.forEach((model, version) -> {
                if (version > engine.entry.weights().getOrDefault(model, 0L)) {
                    seen.add(new PeerMessage.SeenWeights(engine.id(), model, version));
                }
            });
        }
        return seen;
    }
}
