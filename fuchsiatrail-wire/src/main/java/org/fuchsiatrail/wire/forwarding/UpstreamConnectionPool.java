package org.fuchsiatrail.wire.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.netty.channel.Channel;
import org.asynchttpclient.channel.ChannelPool;
import org.asynchttpclient.channel.ChannelPoolPartitioning;
import org.asynchttpclient.channel.ChannelPoolPartitioning.PerHostChannelPoolPartitioning;
import org.asynchttpclient.proxy.ProxyServer;
import org.asynchttpclient.uri.Uri;

/**
 * The idle connections to upstreams. A request is never sent twice over one connection: an answer that the upstream
 * writes once more bears the request's id, so only the connection tells it from the answer to the second attempt.
 */
final class UpstreamConnectionPool implements ChannelPool {

    private final ChannelPool connections;

    UpstreamConnectionPool(ChannelPool connections) {
        this.connections = connections;
    }

    /** Tells the pool for which request a connection is needed. All requests to an address share its connections. */
    record RequestPartitioning(String callerAttemptId) implements ChannelPoolPartitioning {

        @Override
        public Object getPartitionKey(Uri uri, String virtualHost, ProxyServer proxy) {
            Object address = PerHostChannelPoolPartitioning.INSTANCE.getPartitionKey(uri, virtualHost, proxy);
            return new RequestKey(address, callerAttemptId);
        }
    }

    private record RequestKey(Object address, String callerAttemptId) {}

    private static Object address(Object partitionKey) {
        return partitionKey instanceof RequestKey request ? request.address() : partitionKey;
    }

    @Override
    public boolean offer(Channel channel, Object partitionKey) {
        UpstreamConnection connection = UpstreamConnection.of(channel);
        connection.setIdle(true);
        return connection.mayCarryAnotherRequest() && connections.offer(channel, address(partitionKey));
    }

    @Override
    public Channel poll(Object partitionKey) {
        List<Channel> carriedBefore = new ArrayList<>();
        Channel channel = connections.poll(address(partitionKey));
        while (channel != null && !isUsable(channel, partitionKey)) {
            if (UpstreamConnection.of(channel).isInsideResponse() || !channel.isActive()) {
                channel.close();
            } else {
                carriedBefore.add(channel);
            }
            channel = connections.poll(address(partitionKey));
        }
        carriedBefore.forEach(other -> connections.offer(other, address(partitionKey)));
        if (channel != null) {
            UpstreamConnection.of(channel).setIdle(false);
        }
        return channel;
    }

    private static boolean isUsable(Channel channel, Object partitionKey) {
        UpstreamConnection connection = UpstreamConnection.of(channel);
        connection.readArrived(channel);
        boolean carried =
                partitionKey instanceof RequestKey request && connection.hasCarried(request.callerAttemptId());
        return !carried && !connection.isInsideResponse() && channel.isActive();
    }

    @Override
    public boolean removeAll(Channel channel) {
        return connections.removeAll(channel);
    }

    @Override
    public boolean isOpen() {
        return connections.isOpen();
    }

    @Override
    public void destroy() {
        connections.destroy();
    }

    @Override
    public void flushPartitions(Predicate<Object> predicate) {
        connections.flushPartitions(predicate);
    }

    @Override
    public Map<String, Long> getIdleChannelCountPerHost() {
        return connections.getIdleChannelCountPerHost();
    }
}
