package org.fuchsiatrail.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.asynchttpclient.AsyncHttpClient;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.Fuchsiatrail;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.RouterCore;
import org.fuchsiatrail.daemon.callers.CallerServer;
import org.fuchsiatrail.daemon.observe.Traces;
import org.fuchsiatrail.daemon.operators.OperatorServer;
import org.fuchsiatrail.daemon.settings.SettingKey;
import org.fuchsiatrail.daemon.settings.Settings;
import org.fuchsiatrail.wire.SteadyClock;
import org.fuchsiatrail.wire.client.HttpClients;
import org.fuchsiatrail.wire.http.HttpHandler;
import org.fuchsiatrail.wire.http.HttpLimits;
import org.fuchsiatrail.wire.http.HttpListener;
import org.fuchsiatrail.wire.memory.MemoryBudget;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.ProcessGuard;
import org.fuchsiatrail.wire.observe.RouterMetrics;
import org.fuchsiatrail.wire.peer.Addresses;
import org.fuchsiatrail.wire.peer.LivenessTimeouts;
import org.fuchsiatrail.wire.peer.PeerTransport;

/** Runs a router core as a process: one thread ticks the core, the network threads queue its inputs. */
public final class RouterProcess implements AutoCloseable {

    private static final int NETWORK_THREADS = 2;
    private static final int MAXIMUM_INPUTS_PER_TICK = 4_096;

    /** Maximum duration of a graceful shutdown; requests that are still running then are aborted. */
    private static final long STOP_TIMEOUT_MILLIS = 120_000;

    private final Clock clock = SteadyClock.ofThisMachine();
    private final LinkedBlockingQueue<Input> inputs = new LinkedBlockingQueue<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final RouterMetrics metrics = new RouterMetrics();
    private final EventLoopGroup peerLoop = new NioEventLoopGroup(1);
    /** One loop, on which the memory budget is kept. */
    private final EventLoopGroup listenerLoop = new NioEventLoopGroup(1);

    private final EventLoopGroup clientLoops = new NioEventLoopGroup(NETWORK_THREADS);
    private final AsyncHttpClient http = HttpClients.create(clientLoops);
    private final Traces traces;
    private final RouterCore core;
    private final PeerTransport peers;
    private final CallerServer callers;
    private final OperatorServer operators;
    private final OutputHandler outputHandler;
    private final List<HttpListener> listeners = new ArrayList<>();
    private final Thread ticker;
    private volatile boolean ready;
    private volatile ProcessGuard guard;

    /**
     * Starts a router.
     *
     * @param settings the settings of the router
     * @throws IOException when a TLS file cannot be read
     */
    public RouterProcess(Settings settings) throws IOException {
        long incarnation = clock.nowMillis();
        core = Fuchsiatrail.router(settings.routerSettings(incarnation));
        traces = Traces.create(settings.text(SettingKey.TRACING_EXPORTER), settings.text(SettingKey.ROUTER_ID));
        peers = new PeerTransport(
                peerLoop,
                settings.self().id(),
                Addresses.toSocketAddress(settings.text(SettingKey.PEERS_LISTEN)),
                settings.text(SettingKey.ROUTER_SECRET),
                (from, message) -> {
                    outputHandler().recordPeerSpan(message);
                    inputs.add(new Input.PeerSpoke(from, message));
                },
                clock,
                ConnectionBudget.descriptors(),
                new LivenessTimeouts(settings.integer(SettingKey.MEMBERSHIP_DEAD_MILLIS)));
        callers = new CallerServer(settings, incarnation, clock, inputs::add, () -> ready, metrics, traces);
        operators = new OperatorServer(settings, inputs::add, () -> ready, metrics);
        outputHandler = new OutputHandler(
                clock, http, settings, inputs::add, peers, callers, operators, metrics, traces, stopped::countDown);
        metrics.gauge("inputs.waiting", inputs::size);
        peers.registerMetrics(metrics);
        listen(settings);
        ticker = new Thread(this::tickUntilStopped, "ticker");
        ticker.start();
        LogLines.info("router", "Router started.", Map.of("id", settings.self().id(), "incarnation", incarnation));
    }

    /** Lets the message listener, which is created before the output handler, refer to the handler. */
    private OutputHandler outputHandler() {
        return outputHandler;
    }

    private void listen(Settings settings) throws IOException {
        HttpLimits limits = HttpLimits.ofSizes((int) settings.integer(SettingKey.CALLERS_BODY_BYTES), (int)
                settings.integer(SettingKey.CALLERS_HEADER_BYTES));
        ReloadingTlsContext callerTls = ReloadingTlsContext.of(
                settings.text(SettingKey.CALLERS_TLS_CERTIFICATE), settings.text(SettingKey.CALLERS_TLS_KEY));
        ReloadingTlsContext operatorTls = ReloadingTlsContext.of(
                settings.text(SettingKey.OPERATORS_TLS_CERTIFICATE), settings.text(SettingKey.OPERATORS_TLS_KEY));
        MemoryBudget budget = ConnectionBudget.of(settings, clock, metrics);
        listen(settings.text(SettingKey.CALLERS_LISTEN), limits, callerTls, budget, callers);
        listen(settings.text(SettingKey.OPERATORS_LISTEN), HttpLimits.internal(), operatorTls, budget, operators);
    }

    private void listen(
            String address, HttpLimits limits, ReloadingTlsContext tls, MemoryBudget budget, HttpHandler handler) {
        listeners.add(HttpListener.listen(
                listenerLoop, Addresses.toSocketAddress(address), () -> limits, tls, () -> false, budget, handler));
    }

    private void tickUntilStopped() {
        List<Input> batch = new ArrayList<>();
        while (stopped.getCount() > 0) {
            try {
                Input first = inputs.poll(RouterCore.MAXIMUM_TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                batch.clear();
                if (first != null) {
                    batch.add(first);
                    inputs.drainTo(batch, MAXIMUM_INPUTS_PER_TICK);
                }
                tick(batch);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                LogLines.error("router", "Tick failed; its outputs may be lost.", e);
                metrics.count("ticks.failed", 1);
            }
        }
    }

    private void tick(List<Input> batch) {
        List<Output> outputs = core.tick(clock.nowMillis(), batch);
        ready = core.ready();
        for (Output output : outputs) {
            outputHandler.execute(output);
        }
    }

    /** Ends the whole process, until this router is closed, if the router cannot recover. */
    public void guardProcess() {
        guard = ProcessGuard.start(List.of(peerLoop, listenerLoop, clientLoops));
    }

    /** Shuts down gracefully: accepts no new requests, waits for running ones up to the stop timeout, and closes. */
    public void stop() {
        inputs.add(new Input.StopAsked());
        try {
            if (!stopped.await(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                LogLines.info(
                        "router",
                        "Graceful shutdown timed out; running requests are aborted.",
                        Map.of("waitedMillis", STOP_TIMEOUT_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    @Override
    public void close() {
        stopped.countDown();
        if (guard != null) {
            guard.close();
        }
        listeners.forEach(HttpListener::close);
        peers.close();
        closeQuietly(http);
        traces.close();
        for (EventLoopGroup loop : List.of(peerLoop, listenerLoop, clientLoops)) {
            loop.shutdownGracefully(100, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
        LogLines.info("router", "Router stopped.", Map.of());
        LogLines.flush();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            LogLines.error("router", "Failed to close the HTTP client.", e);
        }
    }
}
