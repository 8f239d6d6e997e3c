package org.fuchsiatrail.internal.forwarding;

/**
 * What is known of the software versions of upstreams and of the streams that they began.
 *
 * @param software the software versions of the upstreams of each service
 * @param origins what began each stream
 * @param lookup finds the version at which a stream may go on
 */
record StreamVersions(SoftwareVersions software, StreamOrigins origins, StreamOriginLookup lookup) {

    static StreamVersions create(ForwardingContext context, StoreReplica replica) {
        SoftwareVersions software = new SoftwareVersions(context);
        StreamOrigins origins = new StreamOrigins(context);
        return new StreamVersions(software, origins, new StreamOriginLookup(context, replica, origins, software));
    }
}
