package org.fuchsiatrail.internal.locality;

import java.util.List;
import java.util.Optional;

/**
 * What a router knows when it decides whether a request leaves its failure domain.
 *
 * @param home the best place in the own domain, if it has a usable upstream
 * @param elsewhere the best places in other domains
 * @param latencyTargetMillis the latency target of the route
 * @param transferredBytes the expected bytes of the prompt and the answer
 * @param resumed whether it continues a stream that another attempt began
 * @param heldShare the share of the service's requests that earlier differences asked for, 0 to 1
 * @param permitted whether another request may leave in this second
 * @param draw a random number, 0 to 1
 */
public record LeavingView(
        Optional<DomainOffer> home,
        List<DomainOffer> elsewhere,
        double latencyTargetMillis,
        double transferredBytes,
        boolean resumed,
        double heldShare,
        boolean permitted,
        double draw) {}
