package org.fuchsiatrail.forwarding;

/** What may be repeated of a route's requests. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Must run at most once for each attempt of the caller. */
    NOT_IDEMPOTENT,
    /** Answers with a stream of events; runs at most once unless the route lets it resume. */
    STREAM
}
