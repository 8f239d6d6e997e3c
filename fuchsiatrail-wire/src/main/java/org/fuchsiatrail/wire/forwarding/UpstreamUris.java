package org.fuchsiatrail.wire.forwarding;

import org.asynchttpclient.uri.Uri;

/** Builds the URIs of requests to upstreams, of which the target stays as the caller sent it. */
final class UpstreamUris {

    private static final char FIRST_VISIBLE = '!';
    private static final char LAST_VISIBLE = '~';

    private UpstreamUris() {}

    /**
     * Checks whether a request target can be forwarded unchanged.
     *
     * @param target the request target as received
     * @throws IllegalArgumentException if it contains a character that HTTP does not allow in it
     */
    static void checkTarget(String target) {
        boolean visible = target.chars().allMatch(character -> character >= FIRST_VISIBLE && character <= LAST_VISIBLE);
        if (!visible) {
            throw new IllegalArgumentException("the request target must consist of visible ASCII characters");
        }
    }

    /**
     * Returns the URI of a request. The whole target stands in its path, since a parsed one loses dot segments, an
     * empty query and a fragment.
     */
    static Uri create(String address, String target) {
        Uri authority = Uri.create("http://" + address + "/");
        return new Uri(Uri.HTTP, null, authority.getHost(), authority.getPort(), target, null, null);
    }
}
