package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.StoreReply;
import org.fuchsiatrail.forwarding.VersionShares;

/**
 * Reads the version shares from the store for streams that callers resume. Only a read that starts after a stream was
 * interrupted is sure to contain the shares under which it began.
 *
 * <p>Load pattern: all routers lose power at once, and their callers resume hundreds of streams within a second. One
 * read serves all streams that wait for it.
 */
final class VersionShareReads {

    /** The shortest interval between reads, in milliseconds; each read is a paid call. */
    private static final long MINIMUM_INTERVAL_MILLIS = 500;

    /** Timeout of a read, in milliseconds; a slow store takes 0.3 s. */
    private static final long TIMEOUT_MILLIS = 600;

    private final ForwardingContext context;
    private final StoreCallTable store;
    private Runnable completionListener = () -> {};
    private long lastRequest;
    private long lastStartedRead;
    private long lastCompletedRead;
    private boolean readPending;
    private long nextReadAtMillis;
    private Optional<List<StoreItem>> items = Optional.empty();

    /** What a read tells of a stream. */
    sealed interface Answer {}

    /**
     * The stream began at a version.
     *
     * @param service the service, if it is known
     * @param softwareVersion the version
     */
    record Known(Optional<String> service, String softwareVersion) implements Answer {}

    /**
     * The version cannot be told.
     *
     * @param reason the reason
     */
    record NotKnown(String reason) implements Answer {}

    VersionShareReads(ForwardingContext context, StoreCallTable store) {
        this.context = context;
        this.store = store;
    }

    /** Sets the listener for completed reads. */
    void onCompletion(Runnable listener) {
        completionListener = listener;
    }

    /** Requests a read that starts from now on; returns its number. */
    long request() {
        lastRequest = lastStartedRead + 1;
        start();
        return lastRequest;
    }

    /** Returns whether a requested read has completed or failed. */
    boolean isCompleted(long read) {
        return lastCompletedRead >= read;
    }

    /** Starts a requested read once it is due. */
    void run() {
        if (lastRequest > lastStartedRead) {
            start();
        }
    }

    private void start() {
        if (readPending || context.now() < nextReadAtMillis) {
            context.wakeAt(nextReadAtMillis);
            return;
        }
        readPending = true;
        nextReadAtMillis = context.now() + MINIMUM_INTERVAL_MILLIS;
        long read = ++lastStartedRead;
        store.call(new StoreCall.ReadVersionShares(), TIMEOUT_MILLIS, reply -> complete(read, reply));
    }

    private void complete(long read, StoreReply reply) {
        readPending = false;
        lastCompletedRead = read;
        items = reply instanceof StoreReply.Page page && !page.more() ? Optional.of(page.items()) : Optional.empty();
        completionListener.run();
    }

    /** Returns at which version a stream began, as the last read tells. */
    Answer find(long stream, List<String> services) {
        if (items.isEmpty()) {
            return new NotKnown("the store did not answer");
        }
        if (items.get().stream().anyMatch(item -> item.content() instanceof StoreItemContent.Unreadable)) {
            return new NotKnown("version shares are unreadable");
        }
        Set<String> versions = new TreeSet<>();
        boolean told = true;
        for (String service : services) {
            boolean inForce = false;
            for (StoreItem item : items.get()) {
                Optional<VersionShares> shares = shares(item, service);
                if (shares.isEmpty()) {
                    continue;
                }
                inForce |= item.content() instanceof StoreItemContent.CurrentVersionShares;
                if (item.content() instanceof StoreItemContent.ReplacedVersionShares replaced && replaced.complete()) {
                    Optional<String> reported = reportedVersion(replaced, stream);
                    if (reported.isPresent()) {
                        return new Known(Optional.of(service), reported.get());
                    }
                    continue;
                }
                Optional<String> version = shares.get().versionOf(stream);
                told &= version.isPresent();
                version.ifPresent(versions::add);
            }
            if (!inForce) {
                return new NotKnown("no version shares are set");
            }
        }
        if (versions.size() != 1 || !told) {
            return new NotKnown("version shares allow " + versions + (told ? "" : " and unknown ones"));
        }
        return new Known(
                services.size() == 1 ? Optional.of(services.getFirst()) : Optional.empty(),
                versions.iterator().next());
    }

    private static Optional<VersionShares> shares(StoreItem item, String service) {
        VersionShares shares =
                switch (item.content()) {
                    case StoreItemContent.CurrentVersionShares current -> current.shares();
                    case StoreItemContent.ReplacedVersionShares replaced -> replaced.shares();
                    default -> null;
                };
        return Optional.ofNullable(shares).filter(found -> found.service().equals(service));
    }

    private static Optional<String> reportedVersion(StoreItemContent.ReplacedVersionShares replaced, long stream) {
        for (var streams : replaced.openStreams()) {
            for (long open : streams.streams()) {
                if (open == stream) {
                    return Optional.of(streams.softwareVersion());
                }
            }
        }
        return Optional.empty();
    }
}
