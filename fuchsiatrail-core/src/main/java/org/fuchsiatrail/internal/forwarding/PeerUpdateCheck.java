package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.PeerMessage;

/** Checks that a peer's update lacks no part that every build sends, so that it can be applied as it is. */
final class PeerUpdateCheck {

    /** The largest revision of the store that is plausible; a larger one would end the watch for changes. */
    private static final long MAXIMUM_REVISION = (1L << 53) - 1;

    private PeerUpdateCheck() {}

    static boolean isComplete(PeerMessage.ForwardingNews update) {
        return isComplete(update.vm())
                && isRevision(update.revision())
                && isRevision(update.coversUpTo())
                && isRevision(update.storeEraNumber())
                && all(update.items(), item -> item.key() != null && item.value() != null)
                && areComplete(update.work())
                && all(update.domains(), domain -> domain.domain() != null && areComplete(domain.work()))
                && all(update.weights(), seen -> seen.engine() != null && seen.model() != null)
                && all(update.targetAges(), age -> age.model() != null)
                && all(update.switching(), switching -> switching.engine() != null)
                && all(update.crashes(), crash -> crash.upstream() != null)
                && all(update.clearedCrashes(), crash -> crash.upstream() != null)
                && all(update.clearedParts(), part -> true)
                && all(update.reads(), read -> read.engine() != null && read.keys() != null && read.tokens() != null)
                && all(update.caches(), PeerUpdateCheck::isComplete)
                && all(update.limits(), limit -> limit.upstream() != null)
                && all(update.pauses(), pause -> pause.upstream() != null)
                && all(update.leaving(), upstream -> true)
                && all(update.darkUpstreams(), dark -> dark.upstream() != null)
                && all(update.subtreeWork(), change -> true)
                && all(update.domainWork(), change -> true)
                && all(update.fleetWork(), change -> true)
                && all(update.subtreeUse(), use -> true)
                && all(update.fleetUse(), use -> true)
                && areStreamsComplete(update);
    }

    private static boolean areStreamsComplete(PeerMessage.ForwardingNews update) {
        return all(update.startedStreams(), PeerUpdateCheck::isComplete)
                && all(update.streamQueries(), query -> areTexts(query.services()))
                && all(update.streamReplies(), PeerUpdateCheck::isComplete)
                && all(update.openStreamQueries(), query -> query.service() != null)
                && all(
                        update.openStreamReplies(),
                        reply -> reply.service() != null && all(reply.streams(), PeerUpdateCheck::isComplete));
    }

    private static boolean isComplete(EntryVm vm) {
        return vm != null && vm.id() != null && vm.failureDomain() != null && vm.address() != null;
    }

    private static boolean isRevision(long revision) {
        return revision >= 0 && revision <= MAXIMUM_REVISION;
    }

    private static boolean areComplete(List<PeerMessage.UpstreamWork> work) {
        return all(work, upstreamWork -> upstreamWork.upstream() != null);
    }

    private static boolean isComplete(PeerMessage.CacheChanges changes) {
        return changes.holder() != null
                && changes.keys() != null
                && changes.tokens() != null
                && changes.reader() != null;
    }

    private static boolean isComplete(PeerMessage.StartedStreams started) {
        return started.service() != null && started.softwareVersion() != null && started.streams() != null;
    }

    private static boolean isComplete(PeerMessage.StreamReply reply) {
        return reply.service() != null && reply.softwareVersion() != null && areTexts(reply.recentVersions());
    }

    private static boolean areTexts(List<String> texts) {
        return texts != null && all(texts, text -> true);
    }

    private static <T> boolean all(List<T> elements, Predicate<T> complete) {
        return elements.stream().allMatch(element -> Objects.nonNull(element) && complete.test(element));
    }
}
