package org.fuchsiatrail.wire.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Short TCP keep-alive probes, which show a connection whose other end has silently gone. */
public final class KeepAliveProbes {

    /** Silence before the first probe, in seconds, the least that the kernel takes. */
    public static final int IDLE_SECONDS = 1;

    /** Time between probes, in seconds. */
    public static final int INTERVAL_SECONDS = 1;

    /** Unanswered probes after which a connection is dead. */
    public static final int COUNT = 2;

    /** Silence before the first probe, as an option of a channel. */
    public static final ChannelOption<Integer> IDLE = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);

    /** Time between probes, as an option of a channel. */
    public static final ChannelOption<Integer> INTERVAL = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL);

    /** Unanswered probes, as an option of a channel. */
    public static final ChannelOption<Integer> PROBES = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT);

    private KeepAliveProbes() {}

    /**
     * Has a connection probed.
     *
     * @param connection an open connection
     */
    public static void enable(Channel connection) {
        connection.config().setOption(ChannelOption.SO_KEEPALIVE, true);
        connection.config().setOption(IDLE, IDLE_SECONDS);
        connection.config().setOption(INTERVAL, INTERVAL_SECONDS);
        connection.config().setOption(PROBES, COUNT);
    }
}
