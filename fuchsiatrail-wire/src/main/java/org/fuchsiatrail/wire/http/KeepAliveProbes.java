package org.fuchsiatrail.wire.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** TCP keep-alive with short intervals, which detects connections whose peer disappeared without closing them. */
public final class KeepAliveProbes {

    /** Idle time before the first probe, in seconds; 1 is the minimum that the kernel accepts. */
    public static final int IDLE_SECONDS = 1;

    /** The interval between probes, in seconds. */
    public static final int INTERVAL_SECONDS = 1;

    /** The number of unanswered probes after which the kernel closes a connection. */
    public static final int PROBE_COUNT = 2;

    /** The channel option for the idle time before the first probe. */
    public static final ChannelOption<Integer> IDLE_OPTION = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);

    /** The channel option for the interval between probes. */
    public static final ChannelOption<Integer> INTERVAL_OPTION =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL);

    /** The channel option for the number of unanswered probes. */
    public static final ChannelOption<Integer> PROBE_COUNT_OPTION =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT);

    private KeepAliveProbes() {}

    /**
     * Enables keep-alive probes on a connection.
     *
     * @param connection an open connection
     */
    public static void enable(Channel connection) {
        connection.config().setOption(ChannelOption.SO_KEEPALIVE, true);
        connection.config().setOption(IDLE_OPTION, IDLE_SECONDS);
        connection.config().setOption(INTERVAL_OPTION, INTERVAL_SECONDS);
        connection.config().setOption(PROBE_COUNT_OPTION, PROBE_COUNT);
    }
}
