package org.fuchsiatrail.wire.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.wire.http.HttpExchange;
import org.fuchsiatrail.wire.http.HttpHandler;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.RouterMetrics;
import org.fuchsiatrail.wire.peer.PeerTransport;

/**
 * Drives a forwarding core on one event loop: passes it inputs, executes its outputs, and ticks it when a timer is due.
 *
 * <p>All methods except {@link #stop} must be called on the event loop.
 */
public final class ForwardingLoop implements HttpHandler {

    /** The change of the offset between wall clock and steady clock above which the clock jumped, in milliseconds. */
    private static final long CLOCK_JUMP_MILLIS = 300;

    private static final long MALFORMED_LOG_INTERVAL_MILLIS = 1_000;

    private final EventLoop eventLoop;
    private final ForwardingCore core;
    private final CallDialect dialect;
    private final StoreGateway store;
    private final RouterMetrics metrics;
    private final Clock steadyClock;
    private final Clock wallClock;
    private final OpenRequests openRequests;
    private final PeerTraffic peerTraffic;
    private final OutputExecutor outputs;
    private List<ForwardingInput> inputs = new ArrayList<>();
    private ScheduledFuture<?> wakeUp;
    private long wakeUpAtMillis = Long.MAX_VALUE;
    private long clockOffsetMillis = Long.MIN_VALUE;
    private boolean started;
    private boolean ticking;
    private long nextRequestNumber = 1;
    private long malformedSinceLog;
    private long nextMalformedLogAtMillis = Long.MIN_VALUE;

    /**
     * Creates a loop that is idle until {@link #start} is called; inputs that arrive before are kept until then.
     *
     * @param dependencies the loop's dependencies
     */
    public ForwardingLoop(ForwardingDependencies dependencies) {
        this(dependencies, UnaryOperator.identity());
    }

    /** Creates a loop in which a decorator wraps the execution of each output. */
    ForwardingLoop(ForwardingDependencies dependencies, UnaryOperator<Consumer<ForwardingOutput>> decorator) {
        this.eventLoop = dependencies.eventLoop();
        this.core = dependencies.core();
        this.dialect = dependencies.dialect();
        this.store = dependencies.store();
        this.metrics = dependencies.metrics();
        this.steadyClock = dependencies.steadyClock();
        this.wallClock = dependencies.wallClock();
        this.openRequests = new OpenRequests(dialect);
        this.peerTraffic = new PeerTraffic(metrics, steadyClock);
        this.outputs = new OutputExecutor(dependencies, openRequests, peerTraffic, this::accept, decorator);
    }

    /**
     * Starts the loop with a first tick of the core.
     *
     * @param transport sends messages to peers
     */
    public void start(PeerTransport transport) {
        outputs.setPeers(transport);
        started = true;
        tick();
    }

    /** Requests a graceful shutdown; may be called from any thread. */
    public void stop() {
        eventLoop.execute(() -> accept(new ForwardingInput.StopRequested()));
    }

    /** Answers all open requests, since the process ends before their upstreams do; may be called from any thread. */
    public void endOpenRequests() {
        eventLoop.execute(outputs::failAllRequests);
    }

    /**
     * Receives a message from a peer. Messages other than peer updates are counted and ignored.
     *
     * @param from the peer
     * @param message the message
     */
    public void receivePeerMessage(EntryVmId from, PeerMessage message) {
        if (!(message instanceof PeerMessage.ForwardingNews update)) {
            metrics.count("peers.unexpected-messages", 1);
            return;
        }
        metrics.count("peers.received-messages", 1);
        peerTraffic.received(update);
        update.items().stream()
                .filter(Objects::nonNull)
                .forEach(item ->
                        inputs.add(new ForwardingInput.StoreItemRelayed(store.parseItem(item), update.storeEra())));
        accept(new ForwardingInput.PeerMessageReceived(from, update));
    }

    @Override
    public void handle(HttpExchange exchange) {
        ForwardedCall call;
        try {
            UpstreamUris.checkTarget(exchange.uri());
            call = dialect.parseCall(exchange);
        } catch (IllegalArgumentException e) {
            metrics.count("requests.malformed", 1);
            logMalformed(String.valueOf(e.getMessage()));
            exchange.respond(400, Map.of(), new byte[0]);
            return;
        } catch (RuntimeException | Error e) {
            connectionFailed("Request could not be read.", e);
            OpenRequests.refuseUnreadable(exchange);
            return;
        }
        RequestId request = new RequestId("r" + nextRequestNumber++);
        openRequests.add(request, exchange, call);
        accept(new ForwardingInput.CallReceived(request, call));
        exchange.onDisconnect(() -> {
            openRequests.remove(request);
            accept(new ForwardingInput.CallerDisconnected(request));
        });
    }

    /** Logs at most one line a second, as callers may send any number of such requests. */
    private void logMalformed(String reason) {
        malformedSinceLog++;
        long nowMillis = steadyClock.nowMillis();
        if (nowMillis >= nextMalformedLogAtMillis) {
            nextMalformedLogAtMillis = nowMillis + MALFORMED_LOG_INTERVAL_MILLIS;
            LogLines.info(
                    "callers",
                    "Malformed request refused.",
                    Map.of("status", 400, "reason", reason, "requests", malformedSinceLog));
            malformedSinceLog = 0;
        }
    }

    @Override
    public void connectionFailed(String message, Throwable cause) {
        metrics.count("connections.failed", 1);
        LogLines.error("callers", message, cause);
    }

    private void accept(ForwardingInput input) {
        inputs.add(input);
        if (started && !ticking) {
            tick();
        }
    }

    /** Ticks the core until there are no inputs left; inputs that arrive during a tick are passed to the next one. */
    private void tick() {
        ticking = true;
        try {
            do {
                detectClockJump();
                List<ForwardingInput> batch = inputs;
                inputs = new ArrayList<>();
                tickCore(batch).forEach(outputs::execute);
            } while (!inputs.isEmpty());
        } finally {
            ticking = false;
            scheduleWakeUp();
        }
    }

    /** Ticks the core; if that throws as a whole, each input has failed. */
    private List<ForwardingOutput> tickCore(List<ForwardingInput> batch) {
        try {
            return core.tick(steadyClock.nowMillis(), batch);
        } catch (RuntimeException | Error e) {
            metrics.count("ticks.failed", 1);
            LogLines.error("router", "Tick failed.", e);
            openRequests.takeUnlimited().forEach(this::failAtDeadline);
            List<ForwardingOutput> failures = new ArrayList<>();
            batch.forEach(input -> failures.add(new ForwardingOutput.InputFailed(input, e)));
            return failures;
        }
    }

    /** Answers a request at its deadline at the latest, in case its answer was lost with the outputs of a tick. */
    private void failAtDeadline(RequestId request, long deadlineMillis) {
        eventLoop.schedule(() -> outputs.failRequest(request), deadlineMillis, TimeUnit.MILLISECONDS);
    }

    private void detectClockJump() {
        long offsetMillis = wallClock.nowMillis() - steadyClock.nowMillis();
        if (clockOffsetMillis != Long.MIN_VALUE && Math.abs(offsetMillis - clockOffsetMillis) > CLOCK_JUMP_MILLIS) {
            inputs.add(0, new ForwardingInput.ClockJumped(offsetMillis - clockOffsetMillis));
        }
        clockOffsetMillis = offsetMillis;
    }

    private void scheduleWakeUp() {
        long dueAtMillis = core.nextDueMillis();
        if (dueAtMillis == Long.MAX_VALUE || (wakeUp != null && wakeUpAtMillis <= dueAtMillis)) {
            return;
        }
        if (wakeUp != null) {
            wakeUp.cancel(false);
        }
        wakeUpAtMillis = dueAtMillis;
        long delayMillis = Math.max(1, dueAtMillis - steadyClock.nowMillis());
        wakeUp = eventLoop.schedule(
                () -> {
                    wakeUp = null;
                    wakeUpAtMillis = Long.MAX_VALUE;
                    if (!ticking) {
                        tick();
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }
}
