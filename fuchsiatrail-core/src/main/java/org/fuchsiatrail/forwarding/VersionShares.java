package org.fuchsiatrail.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * The software versions at which the resumable streams of a service begin. A stream begins at the version whose share
 * of the key space contains its key, so that every router can tell the version of a stream from its key alone.
 *
 * @param service the service of the upstreams
 * @param epoch the number of these shares; each change of the shares of a service has a higher one
 * @param shares the shares, in the order in which they divide the key space; none if versions are not known
 */
public record VersionShares(String service, long epoch, List<Share> shares) {

    /** The epoch of streams that began before the shares of their service were first set. */
    public static final long BEFORE_FIRST_EPOCH = 0;

    /**
     * The part of the key space that belongs to a version.
     *
     * @param softwareVersion the version
     * @param weight the size of the part in relation to the other weights
     */
    public record Share(String softwareVersion, int weight) {}

    /**
     * Creates the shares of streams whose version cannot be told from their key.
     *
     * @param service the service of the upstreams
     * @param epoch the epoch in which they began
     * @return the shares
     */
    public static VersionShares unknown(String service, long epoch) {
        return new VersionShares(service, epoch, List.of());
    }

    /**
     * Returns the version at which a stream begins.
     *
     * @param stream the key of the stream, evenly distributed over all numbers
     * @return the version, or empty if it cannot be told from the key
     */
    public Optional<String> versionOf(long stream) {
        long totalWeight = shares.stream().mapToLong(Share::weight).sum();
        long position = totalWeight == 0 ? 0 : Math.multiplyHigh(stream >>> 1, 2 * totalWeight);
        for (Share share : shares) {
            position -= share.weight();
            if (position < 0) {
                return Optional.of(share.softwareVersion());
            }
        }
        return Optional.empty();
    }
}
