package org.fuchsiatrail.forwarding;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToIntFunction;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/**
 * The encoded size of a peer update by kind of content, in bytes as MessagePack. It is computed without encoding the
 * update. Values that an update lacks count as nil.
 */
public final class PeerUpdateSize {

    private static final int BOOLEAN = 1;
    private static final int DOUBLE = 9;
    /** The header of an array or map of at most 15 entries. */
    private static final int SHORT_HEADER = 1;

    private static final int NIL = 1;

    /** The type, the sender and the other fields of an update that are always present. */
    private static final int ENVELOPE_FIELDS = 6;

    private final int[] bytes = new int[PeerContent.values().length];
    private int fields = ENVELOPE_FIELDS;

    private PeerUpdateSize() {}

    /**
     * Computes the size of an update.
     *
     * @param update the update
     * @return its size
     */
    public static PeerUpdateSize of(PeerMessage.ForwardingNews update) {
        PeerUpdateSize size = new PeerUpdateSize();
        size.add(PeerContent.WORK, "work", update.work(), PeerUpdateSize::work);
        size.add(PeerContent.WORK, "domains", update.domains(), PeerUpdateSize::domainWork);
        size.add(PeerContent.WORK, "subtreeWork", update.subtreeWork(), PeerUpdateSize::workChange);
        size.add(PeerContent.WORK, "domainWork", update.domainWork(), PeerUpdateSize::workChange);
        size.add(PeerContent.WORK, "fleetWork", update.fleetWork(), PeerUpdateSize::workChange);
        size.add(PeerContent.WORK, "subtreeUse", update.subtreeUse(), PeerUpdateSize::customerUse);
        size.add(PeerContent.WORK, "fleetUse", update.fleetUse(), PeerUpdateSize::customerUse);
        size.addNumber("subtreeRouters", update.subtreeRouters());
        size.addNumber("fleetRouters", update.fleetRouters());
        size.add(PeerContent.CACHE_REPORTS, "caches", update.caches(), PeerUpdateSize::cacheChanges);
        size.add(PeerContent.PREFILLED_PARTS, "reads", update.reads(), PeerUpdateSize::readParts);
        size.add(PeerContent.ITEMS, "items", update.items(), PeerUpdateSize::item);
        size.addStreams(update);
        size.addUrgent(update);
        size.addEnvelope(update);
        return size;
    }

    /**
     * Returns the size of one kind of content.
     *
     * @param content the kind
     * @return the size in bytes
     */
    public int bytes(PeerContent content) {
        return bytes[content.ordinal()];
    }

    /**
     * Returns the size of the whole update.
     *
     * @return the size in bytes, without a length prefix
     */
    public int total() {
        return Arrays.stream(bytes).sum();
    }

    private void addEnvelope(PeerMessage.ForwardingNews update) {
        if (update.workByChanges()) {
            fields++;
            bytes[PeerContent.ENVELOPE.ordinal()] += text("workByChanges") + BOOLEAN;
        }
        if (update.countsUse()) {
            fields++;
            bytes[PeerContent.ENVELOPE.ordinal()] += text("countsUse") + BOOLEAN;
        }
        bytes[PeerContent.ENVELOPE.ordinal()] += collectionHeader(fields)
                + text("type")
                + text("ForwardingNews")
                + text("vm")
                + nullable(update.vm(), PeerUpdateSize::vm)
                + text("revision")
                + integer(update.revision())
                + text("wantsItems")
                + BOOLEAN
                + text("coversUpTo")
                + integer(update.coversUpTo())
                + text("storeEraNumber")
                + integer(update.storeEraNumber());
    }

    private void addStreams(PeerMessage.ForwardingNews update) {
        add(PeerContent.STREAMS, "startedStreams", update.startedStreams(), PeerUpdateSize::startedStreams);
        add(
                PeerContent.STREAMS,
                "streamQueries",
                update.streamQueries(),
                query -> SHORT_HEADER
                        + text("stream")
                        + integer(query.stream())
                        + text("services")
                        + list(query.services(), PeerUpdateSize::text));
        add(PeerContent.STREAMS, "streamReplies", update.streamReplies(), PeerUpdateSize::streamReply);
        add(
                PeerContent.STREAMS,
                "openStreamQueries",
                update.openStreamQueries(),
                query -> SHORT_HEADER
                        + text("service")
                        + text(query.service())
                        + text("epoch")
                        + integer(query.epoch()));
        add(
                PeerContent.STREAMS,
                "openStreamReplies",
                update.openStreamReplies(),
                reply -> SHORT_HEADER
                        + text("service")
                        + text(reply.service())
                        + text("epoch")
                        + integer(reply.epoch())
                        + text("streams")
                        + list(reply.streams(), PeerUpdateSize::startedStreams));
    }

    private void addUrgent(PeerMessage.ForwardingNews update) {
        add(
                PeerContent.URGENT,
                "weights",
                update.weights(),
                seen -> SHORT_HEADER + id(seen.engine()) + text(seen.model()) + integer(seen.version()));
        add(
                PeerContent.URGENT,
                "switching",
                update.switching(),
                switching -> SHORT_HEADER + id(switching.engine()) + integer(switching.millisLeft()));
        add(PeerContent.URGENT, "crashes", update.crashes(), PeerUpdateSize::crash);
        add(PeerContent.URGENT, "clearedCrashes", update.clearedCrashes(), PeerUpdateSize::crash);
        add(PeerContent.URGENT, "clearedParts", update.clearedParts(), PeerUpdateSize::integer);
        add(PeerContent.URGENT, "limits", update.limits(), PeerUpdateSize::limit);
        add(PeerContent.URGENT, "targetAges", update.targetAges(), PeerUpdateSize::targetAge);
        add(
                PeerContent.URGENT,
                "pauses",
                update.pauses(),
                pause -> SHORT_HEADER
                        + text("upstream")
                        + id(pause.upstream())
                        + text("millisLeft")
                        + integer(pause.millisLeft()));
        add(PeerContent.URGENT, "leaving", update.leaving(), PeerUpdateSize::id);
        add(
                PeerContent.URGENT,
                "darkUpstreams",
                update.darkUpstreams(),
                dark -> SHORT_HEADER
                        + text("upstream")
                        + id(dark.upstream())
                        + text("ageMillis")
                        + integer(dark.ageMillis()));
    }

    /** Adds a list, which is left out of the update while it is empty. */
    private <T> void add(PeerContent content, String name, List<T> values, ToIntFunction<T> size) {
        if (!values.isEmpty()) {
            fields++;
            bytes[content.ordinal()] += text(name) + list(values, size);
        }
    }

    /** Adds a number of the envelope, which is left out of the update while it is 0. */
    private void addNumber(String name, long value) {
        if (value != 0) {
            fields++;
            bytes[PeerContent.ENVELOPE.ordinal()] += text(name) + integer(value);
        }
    }

    private static int vm(EntryVm vm) {
        return SHORT_HEADER
                + text("id")
                + nullable(vm.id(), id -> text(id.value()))
                + text("failureDomain")
                + nullable(vm.failureDomain(), domain -> text(domain.value()))
                + text("address")
                + text(vm.address())
                + text("leaving")
                + BOOLEAN;
    }

    private static int work(PeerMessage.UpstreamWork work) {
        return SHORT_HEADER
                + id(work.upstream())
                + integer(work.running())
                + integer(work.bound())
                + integer(work.promptTokens())
                + integer(work.shortPromptTokens())
                + integer(work.memoryTokens());
    }

    private static int workChange(PeerMessage.WorkChange change) {
        return SHORT_HEADER
                + integer(change.upstream())
                + integer(change.running())
                + integer(change.bound())
                + integer(change.promptTokens())
                + integer(change.shortPromptTokens())
                + integer(change.memoryTokens());
    }

    private static int customerUse(PeerMessage.CustomerUse use) {
        return SHORT_HEADER
                + integer(use.customer())
                + integer(use.asked())
                + integer(use.recent())
                + integer(use.admitted());
    }

    private static int domainWork(PeerMessage.DomainWork work) {
        return SHORT_HEADER
                + text("domain")
                + nullable(work.domain(), domain -> text(domain.value()))
                + text("work")
                + list(work.work(), PeerUpdateSize::work);
    }

    private static int cacheChanges(PeerMessage.CacheChanges changes) {
        return SHORT_HEADER
                + id(changes.holder())
                + BOOLEAN
                + integers(changes.keys())
                + integers(changes.tokens())
                + text(changes.reader())
                + integer(changes.number())
                + BOOLEAN;
    }

    private static int readParts(PeerMessage.ReadParts parts) {
        return SHORT_HEADER + id(parts.engine()) + integers(parts.keys()) + integers(parts.tokens());
    }

    private static int item(PeerMessage.RelayedItem item) {
        return SHORT_HEADER
                + text("key")
                + text(item.key())
                + text("revision")
                + integer(item.revision())
                + text("removed")
                + BOOLEAN
                + text("value")
                + nullable(item.value(), value -> binaryHeader(value.length) + value.length);
    }

    private static int startedStreams(PeerMessage.StartedStreams started) {
        return SHORT_HEADER
                + text("service")
                + text(started.service())
                + text("softwareVersion")
                + text(started.softwareVersion())
                + text("streams")
                + integers(started.streams());
    }

    private static int streamReply(PeerMessage.StreamReply reply) {
        return SHORT_HEADER
                + text("stream")
                + integer(reply.stream())
                + text("known")
                + BOOLEAN
                + text("service")
                + text(reply.service())
                + text("softwareVersion")
                + text(reply.softwareVersion())
                + text("recentVersions")
                + list(reply.recentVersions(), PeerUpdateSize::text)
                + text("observedMillis")
                + integer(reply.observedMillis());
    }

    private static int crash(PeerMessage.SeenCrash crash) {
        return SHORT_HEADER
                + text("fingerprint")
                + integer(crash.fingerprint())
                + text("upstream")
                + id(crash.upstream())
                + text("sharedParts")
                + integers(crash.sharedParts());
    }

    private static int limit(PeerMessage.NamedLimit limit) {
        return SHORT_HEADER
                + text("upstream")
                + id(limit.upstream())
                + text("named")
                + BOOLEAN
                + text("requestsPerSecond")
                + DOUBLE
                + text("ageMillis")
                + integer(limit.ageMillis());
    }

    private static int targetAge(PeerMessage.TargetAge age) {
        return SHORT_HEADER
                + text("model")
                + text(age.model())
                + text("version")
                + integer(age.version())
                + text("ageMillis")
                + integer(age.ageMillis())
                + text("exact")
                + BOOLEAN;
    }

    private static int id(UpstreamId id) {
        return nullable(id, present -> text(present.value()));
    }

    private static <T> int nullable(T value, ToIntFunction<T> size) {
        return value == null ? NIL : size.applyAsInt(value);
    }

    private static <T> int list(List<T> values, ToIntFunction<T> size) {
        if (values == null) {
            return NIL;
        }
        int bytes = collectionHeader(values.size());
        for (T value : values) {
            bytes += nullable(value, size);
        }
        return bytes;
    }

    private static int integers(long[] values) {
        if (values == null) {
            return NIL;
        }
        int bytes = collectionHeader(values.length);
        for (long value : values) {
            bytes += integer(value);
        }
        return bytes;
    }

    private static int integer(long value) {
        if (value >= 0) {
            return value < 0x80 ? 1 : value < 0x100 ? 2 : value < 0x1_0000 ? 3 : value < 0x1_0000_0000L ? 5 : 9;
        }
        return value >= -0x20
                ? 1
                : value >= Byte.MIN_VALUE ? 2 : value >= Short.MIN_VALUE ? 3 : value >= Integer.MIN_VALUE ? 5 : 9;
    }

    private static int text(String text) {
        if (text == null) {
            return NIL;
        }
        int length = 0;
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            // Both characters of a surrogate pair together take four bytes.
            length += character < 0x80 ? 1 : character < 0x800 || Character.isSurrogate(character) ? 2 : 3;
        }
        return length < 0x20 ? 1 + length : binaryHeader(length) + length;
    }

    private static int collectionHeader(int length) {
        return length < 0x10 ? SHORT_HEADER : length < 0x1_0000 ? 3 : 5;
    }

    private static int binaryHeader(int length) {
        return length < 0x100 ? 2 : length < 0x1_0000 ? 3 : 5;
    }
}
