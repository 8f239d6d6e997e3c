package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;

/** Whose work in flight a report tells. */
sealed interface WorkSource {

    /**
     * One router, which told it itself.
     *
     * @param vm the router
     */
    record Router(EntryVmId vm) implements WorkSource {}

    /**
     * All routers of a failure domain, summed by a relay.
     *
     * @param domain the failure domain
     */
    record Domain(FailureDomain domain) implements WorkSource {}
}
