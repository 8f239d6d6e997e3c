package org.fuchsiatrail.wire.forwarding;

import io.netty.channel.EventLoop;
import org.asynchttpclient.AsyncHttpClient;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.wire.memory.MemoryBudget;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/**
 * The dependencies of a {@link ForwardingLoop}.
 *
 * @param eventLoop the event loop that everything runs on
 * @param core the core that takes the decisions
 * @param http the HTTP client for upstreams, on the same event loop
 * @param dialect the mapping of the platform's HTTP headers
 * @param store the gateway to the platform's store
 * @param engines the gateway for orders and queries to engines
 * @param metrics the counters and timers
 * @param steadyClock the monotonic clock that the core is driven by
 * @param wallClock the wall clock; a jump relative to the steady clock indicates that the VM was paused
 * @param onStopped the action to run when the graceful shutdown is complete
 * @param memory bounds what is kept of answers
 */
public record ForwardingDependencies(
        EventLoop eventLoop,
        ForwardingCore core,
        AsyncHttpClient http,
        CallDialect dialect,
        StoreGateway store,
        EngineGateway engines,
        RouterMetrics metrics,
        Clock steadyClock,
        Clock wallClock,
        Runnable onStopped,
        MemoryBudget memory) {}
