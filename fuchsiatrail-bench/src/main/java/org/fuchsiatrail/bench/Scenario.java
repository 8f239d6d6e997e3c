package org.fuchsiatrail.bench;

/** The fault or load change injected during a run. The names are values of {@code --scenario} and appear in tables. */
enum Scenario {
    /** No fault and no change. */
    CALM,
    /** Twice, an engine crashes and restarts with an empty cache after two seconds. */
    ENGINE_CRASH,
    /** Nine of ten reads of cache events return no events but a cursor beyond them, so that the events are lost. */
    EVENT_LOSS,
    /** All routers restart at once. */
    ROUTER_HERD_RESTART,
    /** The traffic moves to other prefixes, which no engine has cached. */
    HOT_SHIFT,
    /** The store is unavailable from the end of the first third on. */
    STORE_OUTAGE,
    /** One failure domain is cut off from the others for five seconds. */
    DOMAIN_CUT
}
