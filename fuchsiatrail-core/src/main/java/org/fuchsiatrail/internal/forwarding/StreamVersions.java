package org.fuchsiatrail.internal.forwarding;

/**
 * What is known of the software versions of upstreams and of the streams that they began.
 *
 * @param software the software versions of the upstreams of each service
 * @param origins what began each stream
 * @param lookup finds the version at which a stream may go on
 * @param shareCompletion completes replaced version shares
 */
record StreamVersions(
        SoftwareVersions software,
        StreamOrigins origins,
        StreamOriginLookup lookup,
        ReplacedShareCompletion shareCompletion) {

    static StreamVersions create(ForwardingContext context, StoreCallTable store, StoreReplica replica) {
        SoftwareVersions software = new SoftwareVersions(context);
        StreamOrigins origins = new StreamOrigins(context);
        VersionShareReads reads = new VersionShareReads(context, store);
        return new StreamVersions(
                software,
                origins,
                new StreamOriginLookup(context, replica, origins, software, reads),
                new ReplacedShareCompletion(context, store, replica));
    }
}
