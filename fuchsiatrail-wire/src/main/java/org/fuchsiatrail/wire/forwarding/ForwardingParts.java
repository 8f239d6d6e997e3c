package org.fuchsiatrail.wire.forwarding;

import io.netty.channel.EventLoop;
import org.asynchttpclient.AsyncHttpClient;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/**
 * What a {@link ForwardingLoop} is made of.
 *
 * @param loop the event loop that everything runs on
 * @param core the decisions
 * @param http the client for upstreams, on the same event loop
 * @param dialect the names in requests and answers
 * @param store the platform's store
 * @param engines the orders to engines
 * @param metrics counters and histograms
 * @param steady a clock that never goes back
 * @param timeOfDay the time of day, by which pauses of the whole VM are noticed
 * @param stopped is run when nothing is left to do after a stop
 */
public record ForwardingParts(
        EventLoop loop,
        ForwardingCore core,
        AsyncHttpClient http,
        CallDialect dialect,
        StoreGateway store,
        EngineGateway engines,
        RouterMetrics metrics,
        Clock steady,
        Clock timeOfDay,
        Runnable stopped) {}
