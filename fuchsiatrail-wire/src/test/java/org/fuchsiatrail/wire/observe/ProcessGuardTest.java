package org.fuchsiatrail.wire.observe;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ProcessGuardTest {

    private static final long INTERVAL_MILLIS = 10;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final BlockingQueue<String> reasons = new LinkedBlockingQueue<>();
    private final CountDownLatch released = new CountDownLatch(1);

    @AfterEach
    void stop() {
        released.countDown();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Test
    void should_end_a_process_whose_event_loop_has_ended() throws InterruptedException {
        try (ProcessGuard guard = ProcessGuard.start(List.of(group), INTERVAL_MILLIS, reasons::add)) {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();

            assertThat(reasons.poll(20, TimeUnit.SECONDS)).contains("ended");
        }
    }

    @Test
    void should_end_a_process_whose_event_loop_hangs() throws InterruptedException {
        group.execute(this::hang);
        try (ProcessGuard guard = ProcessGuard.start(List.of(group), INTERVAL_MILLIS, reasons::add)) {
            assertThat(reasons.poll(20, TimeUnit.SECONDS)).contains("hangs");
        }
    }

    private void hang() {
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void should_end_no_process_that_shuts_down_its_event_loops() throws InterruptedException {
        ProcessGuard guard = ProcessGuard.start(List.of(group), INTERVAL_MILLIS, reasons::add);
        guard.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();

        assertThat(reasons.poll(200, TimeUnit.MILLISECONDS)).isNull();
    }
}
