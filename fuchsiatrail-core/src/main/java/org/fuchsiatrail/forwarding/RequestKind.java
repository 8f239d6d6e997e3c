package org.fuchsiatrail.forwarding;

/** Determines whether and how often a route's requests may be retried. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Must run at most once for each attempt of the caller. */
    NOT_IDEMPOTENT,
    /** Answers with a stream of events; runs at most once unless the route is resumable. */
    STREAM
}
