package org.fuchsiatrail.forwarding;

import java.util.List;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.PeerMessage.StartedStreams;
import org.fuchsiatrail.UpstreamId;

/** The parsed content of an item of the platform's store. */
public sealed interface StoreItemContent {

    /**
     * The operators' routing configuration.
     *
     * @param table the whole configuration
     */
    record Routing(RoutingTable table) implements StoreItemContent {}

    /**
     * The version of the weights that operators requested for a model.
     *
     * @param model the model
     * @param version the target version for the model's engines
     */
    record TargetWeights(String model, long version) implements StoreItemContent {}

    /**
     * The registration of an upstream.
     *
     * @param entry the registered properties
     */
    record Upstream(UpstreamEntry entry) implements StoreItemContent {}

    /**
     * The registration of a router.
     *
     * @param vm the router
     * @param callerAddress the IP address and port at which it accepts requests, or an empty string
     * @param appliesVersionShares whether it begins resumable streams at the versions that the shares tell
     * @param boundsRelayedAttempts whether it keeps to the {@link RelayAllowance} of a relayed request
     */
    record Member(EntryVm vm, String callerAddress, boolean appliesVersionShares, boolean boundsRelayedAttempts)
            implements StoreItemContent {

        /**
         * Creates the registration of a router that does not apply version shares.
         *
         * @param vm the router
         * @param callerAddress the IP address and port at which it accepts requests, or an empty string
         */
        public Member(EntryVm vm, String callerAddress) {
            this(vm, callerAddress, false, true);
        }

        /**
         * Creates the registration of a router that accepts no relayed requests and does not apply version shares.
         *
         * @param vm the router
         */
        public Member(EntryVm vm) {
            this(vm, "");
        }
    }

    /**
     * The holder entry of the order lease.
     *
     * @param holder the name of the router that holds it
     */
    record OrderLeaseHolder(String holder) implements StoreItemContent {}

    /**
     * A quarantined request, which no router sends to an upstream.
     *
     * @param fingerprint the fingerprint of the request
     * @param crashedUpstreams the incarnations of upstreams that it is said to have crashed
     */
    record Quarantine(long fingerprint, List<UpstreamId> crashedUpstreams) implements StoreItemContent {}

    /**
     * The versions at which the resumable streams of a service begin now.
     *
     * @param shares the shares in force
     */
    record CurrentVersionShares(VersionShares shares) implements StoreItemContent {}

    /**
     * Version shares that are no longer in force, kept while streams that began under them may be resumed.
     *
     * @param shares the former shares
     * @param complete whether the open streams are all streams that began under these shares and may still be resumed
     * @param openStreams the streams that routers reported as open after the shares were replaced
     */
    record ReplacedVersionShares(VersionShares shares, boolean complete, List<StartedStreams> openStreams)
            implements StoreItemContent {}

    /**
     * The value of the item cannot be parsed, so the item provides no content.
     *
     * @param reason why parsing failed
     */
    record Unreadable(String reason) implements StoreItemContent {}

    /** The item was removed. */
    record Removed() implements StoreItemContent {}
}
