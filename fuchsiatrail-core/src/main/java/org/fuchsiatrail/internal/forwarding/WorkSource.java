package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;

/** The source of a report of work in flight. */
sealed interface WorkSource {

    /**
     * A router that reports its own work, and in a large fleet that of all routers which report through it.
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

    /** All routers except this one and those that report through it, as told by this router's parent. */
    record RestOfFleet() implements WorkSource {}
}
