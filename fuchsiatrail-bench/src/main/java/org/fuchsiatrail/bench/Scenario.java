package org.fuchsiatrail.bench;

/** What goes wrong in the middle of a run. */
enum Scenario {
    /** Nothing. */
    CALM,
    /** An engine crashes and comes back empty after two seconds, twice. */
    ENGINE_CRASH,
    /** Nine of ten readings of cache events are lost. */
    EVENT_LOSS,
    /** All routers restart at once. */
    ROUTER_HERD_RESTART,
    /** Other prefixes become hot. */
    HOT_SHIFT,
    /** The store is down for the second half. */
    STORE_OUTAGE,
    /** One failure domain is cut off from the others for five seconds. */
    DOMAIN_CUT
}
