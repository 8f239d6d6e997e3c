package org.fuchsiatrail.wire.forwarding;

/** The headers that routers set for each other on requests that one relays through another. */
public final class RelayHeaders {

    /** Marks a request that another router relayed; such a request is not relayed again. */
    public static final String RELAYED = "Fuchsiatrail-Relayed";

    /** Marks the refusal of a relayed request by a router that reaches no upstream either. */
    public static final String WITHOUT_PATH = "Fuchsiatrail-Without-Path";

    private RelayHeaders() {}
}
