package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.PeerMessage;

/** Determines at which software version each resumable stream may run, and what others must know of the open ones. */
final class StreamBindings {

    private final StreamVersions streamVersions;
    private final VersionShareSystem versionShares;
    private final PeerGossip gossip;
    private final InterruptedStreams interrupted;

    StreamBindings(
            ForwardingContext context,
            StreamVersions streamVersions,
            VersionShareSystem versionShares,
            PeerGossip gossip) {
        this.streamVersions = streamVersions;
        this.versionShares = versionShares;
        this.gossip = gossip;
        this.interrupted = new InterruptedStreams(context);
    }

    /**
     * Assigns the version at which a new stream begins. A stream that this router has reported as open keeps its
     * version, as others rely on the report.
     */
    void assign(PendingCall pending) {
        boolean begins = pending.streamVersion.isEmpty() && !pending.needsOrigin();
        if (begins && !pending.reportedOpen && VersionShareSystem.applyTo(pending.route)) {
            pending.assignedVersion = versionShares.versionOf(pending.service, StreamOrigins.streamKey(pending.call));
        }
    }

    /** Returns whether a new stream must wait, since others may have forgotten the version shares known here. */
    boolean mustWait(PendingCall pending) {
        return pending.streamVersion.isEmpty()
                && !pending.reportedOpen
                && VersionShareSystem.applyTo(pending.route)
                && streamVersions.shareCompletion().mayBeForgotten();
    }

    /** Records the version of a stream whose first event arrived. */
    void recordOrigin(PendingCall pending) {
        if (pending.relayed) {
            return;
        }
        if (pending.streamVersion.isEmpty()) {
            pending.streamVersion = Optional.of(pending.attemptVersion);
        }
        if (pending.route.retryable()) {
            streamVersions
                    .origins()
                    .record(
                            StreamOrigins.streamKey(pending.call),
                            new StreamOrigins.Origin(pending.service, pending.streamVersion.get()));
            gossip.streamStarted(pending.service);
        }
    }

    /** Records a stream that ends here before it is complete. */
    void recordInterrupted(PendingCall pending) {
        if (VersionShareSystem.applyTo(pending.route) && pending.streamVersion.isPresent()) {
            interrupted.add(
                    StreamOrigins.streamKey(pending.call),
                    new StreamOrigins.Origin(pending.service, pending.streamVersion.get()),
                    pending.deadlineAtMillis);
        }
    }

    /** Lists the streams of a service that callers of this router may resume; their versions stay. */
    List<PeerMessage.StartedStreams> openStreams(Collection<PendingCall> calls, String service) {
        Map<String, List<Long>> streamsByVersion = new HashMap<>();
        for (PendingCall pending : calls) {
            boolean concerned = VersionShareSystem.applyTo(pending.route) && pending.service.equals(service);
            Optional<String> version = pending.streamVersion.or(() -> Optional.ofNullable(pending.attemptVersion));
            if (concerned && version.isPresent() && !pending.relayed) {
                pending.reportedOpen = true;
                pending.assignedVersion = version;
                streamsByVersion
                        .computeIfAbsent(version.get(), key -> new ArrayList<>())
                        .add(StreamOrigins.streamKey(pending.call));
            }
        }
        for (InterruptedStreams.Interrupted stream : interrupted.resumable()) {
            if (stream.origin().service().equals(service)) {
                streamsByVersion
                        .computeIfAbsent(stream.origin().softwareVersion(), key -> new ArrayList<>())
                        .add(stream.stream());
            }
        }
        List<PeerMessage.StartedStreams> streams = new ArrayList<>();
        streamsByVersion.forEach((version, keys) -> streams.add(new PeerMessage.StartedStreams(
                service, version, keys.stream().mapToLong(Long::longValue).toArray())));
        return streams;
    }
}
