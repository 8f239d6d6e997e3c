package org.fuchsiatrail;

import java.util.List;

/** Builds {@link PeerMessage.ForwardingNews}; what is not set says nothing. */
public final class ForwardingNewsBuilder {

    private final EntryVm vm;
    private final long revision;
    private boolean wantsItems;
    private long coversUpTo;
    private List<PeerMessage.RelayedItem> items = List.of();
    private List<PeerMessage.UpstreamWork> work = List.of();
    private List<PeerMessage.SeenWeights> weights = List.of();
    private List<PeerMessage.Switching> switching = List.of();
    private List<PeerMessage.SeenCrash> crashes = List.of();
    private List<PeerMessage.ReadParts> reads = List.of();
    private List<PeerMessage.DomainWork> domains = List.of();
    private List<PeerMessage.CacheChanges> caches = List.of();

    ForwardingNewsBuilder(EntryVm vm, long revision) {
        this.vm = vm;
        this.revision = revision;
    }

    /**
     * Asks for the items changed after the sender's revision.
     *
     * @return this builder
     */
    public ForwardingNewsBuilder wantsItems() {
        wantsItems = true;
        return this;
    }

    /**
     * Answers a question for items.
     *
     * @param changed the items
     * @param upTo the revision up to which they are complete
     * @return this builder
     */
    public ForwardingNewsBuilder items(List<PeerMessage.RelayedItem> changed, long upTo) {
        items = changed;
        coversUpTo = upTo;
        return this;
    }

    /**
     * Sets what the sender has in flight.
     *
     * @param own its work on each upstream
     * @return this builder
     */
    public ForwardingNewsBuilder work(List<PeerMessage.UpstreamWork> own) {
        work = own;
        return this;
    }

    /**
     * Sets the versions of weights that were seen.
     *
     * @param seen the versions
     * @return this builder
     */
    public ForwardingNewsBuilder weights(List<PeerMessage.SeenWeights> seen) {
        weights = seen;
        return this;
    }

    /**
     * Sets the engines that take new weights now.
     *
     * @param engines the engines
     * @return this builder
     */
    public ForwardingNewsBuilder switching(List<PeerMessage.Switching> engines) {
        switching = engines;
        return this;
    }

    /**
     * Sets the crashes that were seen.
     *
     * @param seen the crashes
     * @return this builder
     */
    public ForwardingNewsBuilder crashes(List<PeerMessage.SeenCrash> seen) {
        crashes = seen;
        return this;
    }

    /**
     * Sets the prompt parts that engines have read.
     *
     * @param parts the parts
     * @return this builder
     */
    public ForwardingNewsBuilder reads(List<PeerMessage.ReadParts> parts) {
        reads = parts;
        return this;
    }

    /**
     * Sets what failure domains have in flight.
     *
     * @param sums the work of each domain
     * @return this builder
     */
    public ForwardingNewsBuilder domains(List<PeerMessage.DomainWork> sums) {
        domains = sums;
        return this;
    }

    /**
     * Sets what changed in caches.
     *
     * @param changes the changes of each cache
     * @return this builder
     */
    public ForwardingNewsBuilder caches(List<PeerMessage.CacheChanges> changes) {
        caches = changes;
        return this;
    }

    /**
     * Builds the news.
     *
     * @return the news
     */
    public PeerMessage.ForwardingNews build() {
        return new PeerMessage.ForwardingNews(
                vm, revision, wantsItems, coversUpTo, items, work, weights, switching, crashes, reads, domains, caches);
    }
}
