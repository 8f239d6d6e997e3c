package org.fuchsiatrail.forwarding;

/** A kind of content of a peer update. */
public enum PeerContent {
    /** The work in flight of the sender and of failure domains. */
    WORK("work"),
    /** Changes in caches whose events a router reads. */
    CACHE_REPORTS("cache-reports"),
    /** Prompt parts that engines have prefilled. */
    PREFILLED_PARTS("prefilled-parts"),
    /** Items of the platform's store. */
    ITEMS("items"),
    /** The software versions of streams, with queries and replies. */
    STREAMS("streams"),
    /** Crashes, clearances, limits, pauses, leaving upstreams, and versions of weights. */
    URGENT("urgent"),
    /** The sender, its revision and the framing of the update. */
    ENVELOPE("envelope");

    private final String label;

    PeerContent(String label) {
        this.label = label;
    }

    /**
     * Returns the name of this kind in metrics and logs.
     *
     * @return a name
     */
    public String label() {
        return label;
    }
}
