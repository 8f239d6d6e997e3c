package org.fuchsiatrail.internal.forwarding;

import java.util.List;

import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.StoreItemContent;

/** Decides which of the things that requests consist of are quarantined; each is identified by a fingerprint. */
sealed interface QuarantineSource permits CrashTracker, PromptPartTracker {

    /** The beginning of a quarantine, and whether this router detected the last of the crashes. */
    record Quarantine(long fingerprint, boolean detectedHere) {}

    /** Returns whether this router saw a request with this fingerprint complete recently. */
    boolean completedRecently(long fingerprint);

    boolean isQuarantined(long fingerprint);

    /** Returns how much longer the quarantine lasts, in milliseconds, or 0 when there is none. */
    long quarantineMillisLeft(long fingerprint);

    /** The upstream incarnations whose crashes this router attributes to the fingerprint. */
    List<UpstreamId> crashedUpstreams(long fingerprint);

    /** Removes and returns the quarantines that began since the last call. */
    List<Quarantine> drainNewQuarantines();

    /** Learns of a quarantine that another router published. */
    void quarantinePublished(StoreItemContent.Quarantine quarantine);
}
