package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.VersionShares;

/**
 * Completes replaced version shares: the router that replaced them collects the streams that are open at all routers
 * and writes them to the store. From then on the version of every other stream can be told from the newer shares alone.
 */
final class ReplacedShareCompletion {

    /** Interval at which routers that have not replied are asked again, in milliseconds. */
    private static final long QUERY_INTERVAL_MILLIS = 300;

    /** How often all routers of a large fleet are asked, so that the streams are known soon after a change. */
    private static final int FULL_ROUNDS = 5;

    /** The most routers asked at a time later: those that cannot list their streams yet, or have ended. */
    private static final int MAXIMUM_LATER_QUERIES = 8;

    /**
     * For how long a router that is out of touch with the store begins streams under the shares that it knows, in
     * milliseconds; as long as its member entry lasts.
     */
    private static final long MAXIMUM_CONTACT_AGE_MILLIS = 20_000;

    /**
     * By how much replaced shares outlast the streams that may have begun under them, in milliseconds; covers slow
     * answers, heartbeats of peers, and writes that the store carries out late.
     */
    private static final long RETENTION_MARGIN_MILLIS = 8_000;

    /** The time within which callers notice that a stream was interrupted and connect again, in milliseconds. */
    private static final long NOTICE_MILLIS = 5_000;

    /** The fraction of the time left up to which callers follow a retry time. */
    private static final double LONGEST_RETRY_FRACTION = 1 / 3.0;

    /** Timeout of a call, in milliseconds; a slow store takes 0.3 s. */
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final ForwardingContext context;
    private final StoreCallTable store;
    private final StoreReplica replica;
    private final List<OpenStreamCollection> collections = new ArrayList<>();
    private final Map<String, Long> epochAtStartByService = new HashMap<>();
    private Function<String, List<PeerMessage.StartedStreams>> openStreams = service -> List.of();
    private boolean startKnown;

    /** The replies that are awaited before replaced shares are complete. */
    private static final class OpenStreamCollection {
        private final VersionShares replaced;
        private final long lease;
        private final long untilMillis;
        private final Map<EntryVmId, EntryVm> awaited = new LinkedHashMap<>();
        private final List<PeerMessage.StartedStreams> streams = new ArrayList<>();
        private boolean ownIncluded;
        private long nextQueryAtMillis;
        private int routers;
        private int rounds;

        private OpenStreamCollection(VersionShares replaced, long lease, long untilMillis) {
            this.replaced = replaced;
            this.lease = lease;
            this.untilMillis = untilMillis;
        }

        /** Returns the routers to ask now, which are those that were asked longest ago. */
        private List<EntryVm> nextToAsk() {
            rounds++;
            List<EntryVm> next =
                    awaited.values().stream().limit(queriesAtOnce()).toList();
            next.forEach(vm -> {
                awaited.remove(vm.id());
                awaited.put(vm.id(), vm);
            });
            return next;
        }

        private int queriesAtOnce() {
            return GossipTopology.usesRelays(routers) && rounds > FULL_ROUNDS ? MAXIMUM_LATER_QUERIES : routers;
        }
    }

    ReplacedShareCompletion(ForwardingContext context, StoreCallTable store, StoreReplica replica) {
        this.context = context;
        this.store = store;
        this.replica = replica;
    }

    /** Sets the function that lists the open streams of a service at this router. */
    void setOpenStreams(Function<String, List<PeerMessage.StartedStreams>> function) {
        openStreams = function;
    }

    /**
     * How long replaced shares are kept, in milliseconds: routers that are out of touch with the store begin streams
     * under them for a while, and callers may resume these.
     */
    long retentionMillis(String service) {
        return MAXIMUM_CONTACT_AGE_MILLIS + resumableMillis(service) + RETENTION_MARGIN_MILLIS;
    }

    /** Returns whether routers may have forgotten the shares that this one knows, so no stream may begin here. */
    boolean mayBeForgotten() {
        return replica.contact().ageMillis() > MAXIMUM_CONTACT_AGE_MILLIS
                && replica.members().size() > 1;
    }

    /**
     * The longest time in which the caller of an interrupted stream sends nothing before it resumes the stream, in
     * milliseconds: it notices the interruption, and it follows a retry time up to a fraction of the time that it has.
     */
    private long longestCallerSilenceMillis(String service) {
        return NOTICE_MILLIS + Math.round(resumableMillis(service) * LONGEST_RETRY_FRACTION);
    }

    private long resumableMillis(String service) {
        return replica.routing()
                .map(routing -> routing.resumableMillisByService().get(service))
                .orElse(0L);
    }

    /** Begins to collect the streams that are open under replaced shares. */
    void begin(VersionShares replaced, long lease) {
        OpenStreamCollection collection =
                new OpenStreamCollection(replaced, lease, context.now() + retentionMillis(replaced.service()));
        // A router whose entry ended may still run, out of touch, and begin streams under these shares.
        replica.departedMembers()
                .within(retentionMillis(replaced.service()))
                .forEach(vm -> collection.awaited.put(vm.id(), vm));
        replica.members().forEach(member -> collection.awaited.put(member.vm().id(), member.vm()));
        collection.awaited.remove(context.settings().self().id());
        collection.routers = collection.awaited.size();
        collections.add(collection);
    }

    void run() {
        recordEpochsAtStart();
        Iterator<OpenStreamCollection> iterator = collections.iterator();
        while (iterator.hasNext()) {
            OpenStreamCollection collection = iterator.next();
            if (context.now() >= collection.untilMillis || advance(collection)) {
                iterator.remove();
            }
        }
    }

    /** Asks routers for their open streams, or writes these once all have replied; returns whether it did. */
    private boolean advance(OpenStreamCollection collection) {
        VersionShares replaced = collection.replaced;
        if (!collection.ownIncluded && canList(replaced.service(), replaced.epoch())) {
            collection.streams.addAll(openStreams.apply(replaced.service()));
            collection.ownIncluded = true;
        }
        if (collection.ownIncluded && collection.awaited.isEmpty()) {
            complete(collection);
            return true;
        }
        // Routers that started together with this one cannot list their streams before it can.
        boolean mayAsk = collection.ownIncluded || !GossipTopology.usesRelays(collection.routers);
        if (mayAsk && context.now() >= collection.nextQueryAtMillis) {
            collection.nextQueryAtMillis = context.now() + QUERY_INTERVAL_MILLIS;
            PeerMessage.ForwardingNews query = PeerMessage.ForwardingNews.builder(
                            context.settings().self(), replica.revision())
                    .openStreamQueries(List.of(new PeerMessage.OpenStreamQuery(replaced.service(), replaced.epoch())))
                    .build();
            collection
                    .nextToAsk()
                    .forEach(vm -> context.emit(new ForwardingOutput.SendToPeer(vm.id(), vm.address(), query)));
            context.wakeAt(collection.nextQueryAtMillis);
        }
        return false;
    }

    private void complete(OpenStreamCollection collection) {
        VersionShares replaced = collection.replaced;
        store.call(
                new StoreCall.CompleteVersionShares(
                        new StoreItemContent.ReplacedVersionShares(replaced, true, List.copyOf(collection.streams)),
                        collection.lease),
                CALL_TIMEOUT_MILLIS,
                reply -> context.log(
                        "versions",
                        "Streams that are open under replaced version shares recorded.",
                        "service",
                        replaced.service(),
                        "epoch",
                        replaced.epoch(),
                        "streams",
                        collection.streams.stream()
                                .mapToInt(streams -> streams.streams().length)
                                .sum(),
                        "outcome",
                        reply.getClass().getSimpleName()));
    }

    /** Remembers the shares in force when this router started; streams before are not known here. */
    private void recordEpochsAtStart() {
        if (!startKnown && replica.revision() > 0 && replica.routing().isPresent()) {
            startKnown = true;
            for (String service :
                    replica.routing().get().resumableMillisByService().keySet()) {
                epochAtStartByService.put(service, replica.versionShares().epoch(service));
            }
        }
    }

    /**
     * Returns whether this router knows all streams that began here under replaced shares: it begins no more of them,
     * and its predecessor of the same name began none, or callers have resumed those here since.
     */
    private boolean canList(String service, long epoch) {
        boolean replacedHere = replica.versionShares().epoch(service) > epoch;
        boolean ranThroughout = startKnown && epochAtStartByService.getOrDefault(service, Long.MAX_VALUE) < epoch;
        return replacedHere && (ranThroughout || context.uptimeMillis() >= longestCallerSilenceMillis(service));
    }

    /** Replies to queries of a peer; those that cannot be answered yet are asked again. */
    void answer(EntryVmId from, PeerMessage.ForwardingNews message) {
        List<PeerMessage.OpenStreamReply> replies = new ArrayList<>();
        for (PeerMessage.OpenStreamQuery query : message.openStreamQueries()) {
            if (canList(query.service(), query.epoch())) {
                replies.add(new PeerMessage.OpenStreamReply(
                        query.service(), query.epoch(), openStreams.apply(query.service())));
            }
        }
        if (!replies.isEmpty()) {
            context.emit(new ForwardingOutput.SendToPeer(
                    from,
                    message.vm().address(),
                    PeerMessage.ForwardingNews.builder(context.settings().self(), replica.revision())
                            .openStreamReplies(replies)
                            .build()));
        }
    }

    /** Applies the replies of a peer. */
    void receive(EntryVmId from, PeerMessage.ForwardingNews message) {
        for (PeerMessage.OpenStreamReply reply : message.openStreamReplies()) {
            for (OpenStreamCollection collection : collections) {
                boolean meant = collection.replaced.service().equals(reply.service())
                        && collection.replaced.epoch() == reply.epoch();
                if (meant && collection.awaited.remove(from) != null) {
                    collection.streams.addAll(reply.streams());
                }
            }
        }
    }
}
