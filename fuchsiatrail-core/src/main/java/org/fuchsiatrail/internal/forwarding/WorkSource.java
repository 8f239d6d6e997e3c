package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;

/** The source of a report of work in flight. */
sealed interface WorkSource {

    /**
     * A router that reports its own work.
     *
     * @param vm the router
     */
    record Router(EntryVmId vm) implements WorkSource {}

    /**
     * All routers of a failure domain, whose work a relay has summed.
     *
     * @param domain the failure domain
     */
    record Domain(FailureDomain domain) implements WorkSource {}
}
