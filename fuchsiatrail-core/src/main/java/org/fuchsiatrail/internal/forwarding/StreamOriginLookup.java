package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.Route;
import org.fuchsiatrail.forwarding.StoreItemContent;

/**
 * Finds the software version at which a stream may go on that a caller resumes at this router.
 *
 * <p>What this router does not know it asks of its peers. A stream that nobody knows may go on only if most of them
 * agree that there was one version throughout the time in which it may have begun; a router that is cut off or has just
 * started therefore cannot conclude that by itself.
 */
final class StreamOriginLookup {

    /** How long replies of peers are awaited, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 250;

    /** How much longer a read of the version shares is awaited, in milliseconds; it may wait for an earlier one. */
    private static final long SHARE_READ_TIMEOUT_MILLIS = 1_300;

    private final ForwardingContext context;
    private final StoreReplica replica;
    private final StreamOrigins origins;
    private final SoftwareVersions softwareVersions;
    private final VersionShareReads shareReads;
    private final Map<Long, Query> queries = new HashMap<>();
    private Consumer<PendingCall> resolutionListener = pending -> {};

    /** What is known of the version at which a stream may go on. */
    sealed interface Resolution {}

    /** The stream may go on at a version; the service is given if it is known. */
    record Resolved(Optional<String> service, String softwareVersion, String source) implements Resolution {}

    /** Replies are awaited until a time. */
    record Awaiting(long untilMillis) implements Resolution {}

    /** The version cannot be determined. */
    record Unresolved(String reason) implements Resolution {}

    private static final class Query {
        private final Set<EntryVmId> asked = new HashSet<>();
        private final Set<EntryVmId> replied = new HashSet<>();
        private final Set<String> versions = new TreeSet<>();
        private final List<PendingCall> waiting = new ArrayList<>();
        private final long deadlineMillis;
        /** The read of the version shares that started after the query, or 0 if none is awaited. */
        private final long shareRead;

        private long observedMillis;

        private Query(long deadlineMillis, long shareRead) {
            this.deadlineMillis = deadlineMillis;
            this.shareRead = shareRead;
        }
    }

    StreamOriginLookup(
            ForwardingContext context,
            StoreReplica replica,
            StreamOrigins origins,
            SoftwareVersions softwareVersions,
            VersionShareReads shareReads) {
        this.context = context;
        this.replica = replica;
        this.origins = origins;
        this.softwareVersions = softwareVersions;
        this.shareReads = shareReads;
        shareReads.onCompletion(this::notifyWaiting);
    }

    /** Sets the listener for requests whose awaited replies have arrived. */
    void onResolution(Consumer<PendingCall> listener) {
        resolutionListener = listener;
    }

    /** Determines the version at which the stream of a request may go on, or asks the peers for it. */
    Resolution resolve(PendingCall pending) {
        long stream = StreamOrigins.streamKey(pending.call);
        Optional<StreamOrigins.Origin> origin = origins.find(stream);
        if (origin.isPresent()) {
            return new Resolved(
                    Optional.of(origin.get().service()), origin.get().softwareVersion(), "record");
        }
        Query query = queries.get(stream);
        if (query == null) {
            query = ask(stream, services(pending));
        }
        boolean replied = query.replied.size() == query.asked.size() || context.now() >= query.deadlineMillis;
        Resolution resolution = replied ? conclude(query, services(pending)) : new Awaiting(query.deadlineMillis);
        if (resolution instanceof Unresolved && query.shareRead > 0) {
            resolution = concludeFromShares(stream, query, services(pending));
        }
        if (resolution instanceof Awaiting) {
            query.waiting.add(pending);
        } else {
            queries.remove(stream);
        }
        return resolution;
    }

    private static List<String> services(PendingCall pending) {
        return pending.route.targets().stream().map(Route.Target::service).toList();
    }

    private Query ask(long stream, List<String> services) {
        Query query = new Query(context.now() + TIMEOUT_MILLIS, appliesShares(services) ? shareReads.request() : 0);
        queries.put(stream, query);
        List<EntryVm> members =
                replica.members().stream().map(StoreItemContent.Member::vm).toList();
        PeerMessage.ForwardingNews message = PeerMessage.ForwardingNews.builder(
                        context.settings().self(), replica.revision())
                .streamQueries(List.of(new PeerMessage.StreamQuery(stream, services)))
                .build();
        for (EntryVm peer : GossipTopology.streamHolders(members)) {
            if (!peer.id().equals(context.settings().self().id())) {
                query.asked.add(peer.id());
                context.emit(new ForwardingOutput.SendToPeer(peer.id(), peer.address(), message));
            }
        }
        context.count("streams.asked");
        return query;
    }

    private Resolution conclude(Query query, List<String> services) {
        Set<String> versions = new TreeSet<>(query.versions);
        versions.addAll(softwareVersions.recentVersions(services));
        boolean majority = 2 * (query.replied.size() + 1) > query.asked.size() + 1;
        boolean observed = Math.max(query.observedMillis, context.uptimeMillis()) >= StreamOrigins.RETENTION_MILLIS;
        if (majority && observed && versions.size() == 1) {
            return new Resolved(Optional.empty(), versions.iterator().next(), "only version");
        }
        return new Unresolved("origin of the stream is unknown: " + versions.size() + " versions, "
                + query.replied.size() + " of " + query.asked.size() + " peers replied");
    }

    /** Whether all streams of the services begin as version shares tell, at every router. */
    private boolean appliesShares(List<String> services) {
        return services.stream()
                        .allMatch(service ->
                                replica.versionShares().current(service).isPresent())
                && replica.members().stream().allMatch(StoreItemContent.Member::appliesVersionShares);
    }

    private Resolution concludeFromShares(long stream, Query query, List<String> services) {
        long timeoutAtMillis = query.deadlineMillis + SHARE_READ_TIMEOUT_MILLIS;
        if (!shareReads.isCompleted(query.shareRead)) {
            return context.now() < timeoutAtMillis
                    ? new Awaiting(timeoutAtMillis)
                    : new Unresolved("origin of the stream is unknown: the store did not answer");
        }
        return switch (shareReads.find(stream, services)) {
            case VersionShareReads.Known known -> new Resolved(known.service(), known.softwareVersion(), "shares");
            case VersionShareReads.NotKnown notKnown ->
                new Unresolved("origin of the stream is unknown: " + notKnown.reason());
        };
    }

    /** Checks requests again for which a read of the version shares has completed. */
    private void notifyWaiting() {
        for (Query query : List.copyOf(queries.values())) {
            if (query.shareRead > 0 && shareReads.isCompleted(query.shareRead)) {
                notifyWaiting(query);
            }
        }
    }

    private void notifyWaiting(Query query) {
        List<PendingCall> waiting = List.copyOf(query.waiting);
        query.waiting.clear();
        waiting.forEach(resolutionListener);
    }

    /** Replies to a peer's queries. */
    void answer(EntryVmId from, PeerMessage.ForwardingNews message) {
        List<PeerMessage.StreamReply> replies = new ArrayList<>();
        for (PeerMessage.StreamQuery query : message.streamQueries()) {
            Optional<StreamOrigins.Origin> origin = origins.find(query.stream());
            replies.add(new PeerMessage.StreamReply(
                    query.stream(),
                    origin.isPresent(),
                    origin.map(StreamOrigins.Origin::service).orElse(""),
                    origin.map(StreamOrigins.Origin::softwareVersion).orElse(""),
                    List.copyOf(softwareVersions.recentVersions(query.services())),
                    context.uptimeMillis()));
        }
        context.emit(new ForwardingOutput.SendToPeer(
                from,
                message.vm().address(),
                PeerMessage.ForwardingNews.builder(context.settings().self(), replica.revision())
                        .streamReplies(replies)
                        .build()));
    }

    /** Applies the replies of a peer. */
    void receive(EntryVmId from, PeerMessage.ForwardingNews message) {
        for (PeerMessage.StreamReply reply : message.streamReplies()) {
            Query query = queries.get(reply.stream());
            if (reply.known()) {
                origins.receive(new PeerMessage.StartedStreams(
                        reply.service(), reply.softwareVersion(), new long[] {reply.stream()}));
            }
            if (query == null) {
                continue;
            }
            query.replied.add(from);
            query.versions.addAll(reply.recentVersions());
            query.observedMillis = Math.max(query.observedMillis, reply.observedMillis());
            if (reply.known() || query.replied.size() == query.asked.size()) {
                notifyWaiting(query);
            }
        }
    }

    /** Discards queries whose requests have ended meanwhile. */
    void run() {
        shareReads.run();
        queries.values()
                .removeIf(query -> context.now() > query.deadlineMillis + SHARE_READ_TIMEOUT_MILLIS + TIMEOUT_MILLIS);
    }
}
