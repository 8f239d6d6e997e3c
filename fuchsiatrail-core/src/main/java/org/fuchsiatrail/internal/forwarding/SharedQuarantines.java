package org.fuchsiatrail.internal.forwarding;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreReply;

/**
 * Publishes quarantined requests and prompt parts in the platform's store, so that they stay quarantined at routers
 * that start later or missed the peer updates with the crashes. Each entry is bound to a lease, with which the
 * quarantine ends.
 */
final class SharedQuarantines {

    /**
     * The longest random delay before a quarantine is published whose last crash a peer detected, in milliseconds. The
     * peer publishes it at once, unless it learned of other crashes only afterwards.
     */
    private static final long MAXIMUM_DELAY_MILLIS = 1_500;

    /** Delay after a failed call, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 300;

    /** Timeout of a call, in milliseconds; a slow store takes 0.3 s. */
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final ForwardingContext context;
    private final StoreCallTable store;
    private final StoreReplica replica;
    private final List<QuarantineSource> sources;
    private final Map<Long, Publication> publications = new LinkedHashMap<>();
    private boolean callPending;
    private long nextCallAtMillis;

    private static final class Publication {
        private final QuarantineSource source;
        private final long dueAtMillis;
        private long leaseId;
        private boolean published;

        private Publication(QuarantineSource source, long dueAtMillis) {
            this.source = source;
            this.dueAtMillis = dueAtMillis;
        }
    }

    SharedQuarantines(
            ForwardingContext context, StoreCallTable store, StoreReplica replica, List<QuarantineSource> sources) {
        this.context = context;
        this.store = store;
        this.replica = replica;
        this.sources = sources;
        store.era().onChange(this::beginEra);
    }

    /** Publishes all quarantines of this router again, since the store may have lost them. */
    private void beginEra() {
        for (Publication publication : publications.values()) {
            publication.leaseId = 0;
            publication.published = false;
        }
    }

    /** Returns how much longer a quarantine lasts, in milliseconds, as far as this router or the store knows. */
    long millisLeft(QuarantineSource source, long fingerprint) {
        if (source.completedRecently(fingerprint)) {
            return 0;
        }
        return Math.max(source.quarantineMillisLeft(fingerprint), replica.quarantineMillisLeft(fingerprint));
    }

    /** Publishes quarantines that are due and revokes those that were cleared meanwhile. */
    void run() {
        replica.drainNewQuarantines()
                .forEach(published -> sources.forEach(source -> source.quarantinePublished(published)));
        sources.forEach(this::schedulePublications);
        if (callPending || context.now() < nextCallAtMillis || replica.revision() == 0) {
            return;
        }
        Iterator<Map.Entry<Long, Publication>> entries = publications.entrySet().iterator();
        while (entries.hasNext() && !callPending) {
            Map.Entry<Long, Publication> entry = entries.next();
            Publication publication = entry.getValue();
            if (!publication.source.isQuarantined(entry.getKey())) {
                entries.remove();
                revoke(publication);
            } else if (!publication.published && context.now() >= publication.dueAtMillis) {
                publish(entry.getKey(), publication);
            }
        }
    }

    private void schedulePublications(QuarantineSource source) {
        for (QuarantineSource.Quarantine quarantine : source.drainNewQuarantines()) {
            long delayMillis = quarantine.detectedHere() ? 0 : context.random().nextLong(MAXIMUM_DELAY_MILLIS);
            publications.putIfAbsent(quarantine.fingerprint(), new Publication(source, context.now() + delayMillis));
            context.wakeAt(context.now() + delayMillis);
        }
    }

    private void publish(long fingerprint, Publication publication) {
        if (replica.quarantineMillisLeft(fingerprint) > 0) {
            publication.published = true;
            return;
        }
        callPending = true;
        if (publication.leaseId == 0) {
            store.call(new StoreCall.GrantLease(CrashTracker.RETENTION_MILLIS), CALL_TIMEOUT_MILLIS, reply -> {
                finishCall(reply);
                if (reply instanceof StoreReply.LeaseGranted granted) {
                    publication.leaseId = granted.lease();
                }
            });
            return;
        }
        store.call(
                new StoreCall.PublishQuarantine(
                        fingerprint, publication.source.crashedUpstreams(fingerprint), publication.leaseId),
                CALL_TIMEOUT_MILLIS,
                reply -> {
                    finishCall(reply);
                    publication.published = reply instanceof StoreReply.Written || reply instanceof StoreReply.Conflict;
                    publication.leaseId = reply instanceof StoreReply.LeaseExpired ? 0 : publication.leaseId;
                });
    }

    private void revoke(Publication publication) {
        if (publication.leaseId != 0) {
            callPending = true;
            store.call(new StoreCall.EndLease(publication.leaseId), CALL_TIMEOUT_MILLIS, this::finishCall);
        }
    }

    private void finishCall(StoreReply reply) {
        callPending = false;
        nextCallAtMillis = context.now() + (reply instanceof StoreReply.Failed ? RETRY_DELAY_MILLIS : 0);
        context.wakeAt(nextCallAtMillis);
    }
}
