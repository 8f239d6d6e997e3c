package org.fuchsiatrail.forwarding;

import java.util.List;

import org.fuchsiatrail.UpstreamId;

/**
 * What a router that relays a request allows the other router. The router that received the request from its caller
 * accounts for all attempts; the other one makes a single attempt that may be executed, and reports its loss.
 *
 * @param told whether the relaying router told the rest; older builds do not
 * @param attemptsLeft the attempts that may still be executed for the caller's request, this one included
 * @param repeated whether the request may have reached an upstream before
 * @param triedUpstreams upstreams that were tried in vain
 */
public record RelayAllowance(boolean told, int attemptsLeft, boolean repeated, List<UpstreamId> triedUpstreams) {

    /** The allowance of a router that tells nothing: any attempt may be the last one. */
    public static final RelayAllowance UNTOLD = new RelayAllowance(false, 1, true, List.of());
}
