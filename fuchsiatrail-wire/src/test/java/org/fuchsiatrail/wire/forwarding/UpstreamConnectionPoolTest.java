package org.fuchsiatrail.wire.forwarding;

import java.time.Duration;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.HashedWheelTimer;
import org.asynchttpclient.netty.channel.DefaultChannelPool;
import org.asynchttpclient.uri.Uri;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a request that is sent twice over one connection, and against connections that are not reused. */
class UpstreamConnectionPoolTest {

    private static final Uri ADDRESS = Uri.create("http://127.0.0.1:9/issue/1");

    private final HashedWheelTimer timer = new HashedWheelTimer();
    private final UpstreamConnectionPool pool = new UpstreamConnectionPool(
            new DefaultChannelPool(Duration.ofSeconds(1), Duration.ofMillis(-1), timer, Duration.ofMillis(100)));

    @AfterEach
    void stop() {
        pool.destroy();
        timer.stop();
    }

    private static Object key(String callerAttemptId) {
        return new UpstreamConnectionPool.RequestPartitioning(callerAttemptId).getPartitionKey(ADDRESS, null, null);
    }

    private EmbeddedChannel offerConnectionThatCarried(String callerAttemptId) {
        EmbeddedChannel connection = new EmbeddedChannel();
        UpstreamConnection.of(connection).recordRequest(callerAttemptId);
        assertThat(pool.offer(connection, key(callerAttemptId))).isTrue();
        return connection;
    }

    @Test
    void should_reuse_a_connection_for_another_request_to_the_same_address() {
        EmbeddedChannel connection = offerConnectionThatCarried("a1");
        assertThat(pool.poll(key("a2"))).isSameAs(connection);
        assertThat(connection.isOpen()).isTrue();
    }

    @Test
    void should_send_a_request_that_comes_back_over_another_connection() {
        EmbeddedChannel other = offerConnectionThatCarried("a2");
        EmbeddedChannel connection = offerConnectionThatCarried("a1");
        UpstreamConnection.of(connection).recordRequest("a3");
        assertThat(pool.poll(key("a1"))).isSameAs(other);
        assertThat(pool.poll(key("a1"))).isNull();
        assertThat(pool.poll(key("a4"))).as("the connection is kept for others").isSameAs(connection);
    }

    @Test
    void should_close_a_connection_on_which_a_response_has_begun() {
        EmbeddedChannel connection = offerConnectionThatCarried("a1");
        UpstreamConnection.of(connection).setInsideResponse(true);
        assertThat(pool.poll(key("a2"))).isNull();
        assertThat(connection.isOpen()).isFalse();
    }

    @Test
    void should_share_connections_with_calls_that_belong_to_no_request() {
        EmbeddedChannel connection = offerConnectionThatCarried("a1");
        assertThat(pool.poll("http://127.0.0.1:9")).isSameAs(connection);
    }

    @Test
    void should_keep_no_connection_that_has_carried_the_maximum_of_requests() {
        EmbeddedChannel connection = new EmbeddedChannel();
        for (int number = 1; number < UpstreamConnection.MAXIMUM_REQUESTS; number++) {
            UpstreamConnection.of(connection).recordRequest("a" + number);
        }
        assertThat(pool.offer(connection, key("a1"))).isTrue();
        assertThat(pool.poll(key("b1"))).isSameAs(connection);
        UpstreamConnection.of(connection).recordRequest("b1");
        assertThat(pool.offer(connection, key("b1"))).isFalse();
    }
}
