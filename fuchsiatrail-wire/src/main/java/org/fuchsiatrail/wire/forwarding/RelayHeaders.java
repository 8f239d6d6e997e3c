package org.fuchsiatrail.wire.forwarding;

/** The headers that routers set for each other on requests that one relays through another. */
public final class RelayHeaders {

    /** Marks a request that another router relayed; such a request is not relayed again. */
    public static final String RELAYED = "Fuchsiatrail-Relayed";

    /** Marks the refusal of a relayed request by a router that reaches no upstream either, or is about to stop. */
    public static final String WITHOUT_PATH = "Fuchsiatrail-Without-Path";

    /** Marks the refusal of a relayed request by a router that has sent it to no upstream. */
    public static final String NOT_SENT = "Fuchsiatrail-Not-Sent";

    /** The attempts that may still be executed for a relayed request, this one included. */
    public static final String ATTEMPTS_LEFT = "Fuchsiatrail-Attempts-Left";

    /** Marks a relayed request that may have reached an upstream before. */
    public static final String REPEATED = "Fuchsiatrail-Repeated";

    /** The upstreams at which a relayed request was tried in vain, separated by commas. */
    public static final String TRIED_UPSTREAMS = "Fuchsiatrail-Tried";

    /** Names the upstream whose answer to a relayed request is passed on. */
    public static final String UPSTREAM = "Fuchsiatrail-Upstream";

    /** Names, in a refusal, the upstream at which the only attempt of a relayed request was lost. */
    public static final String ATTEMPT_LOST = "Fuchsiatrail-Attempt-Lost";

    private RelayHeaders() {}
}
