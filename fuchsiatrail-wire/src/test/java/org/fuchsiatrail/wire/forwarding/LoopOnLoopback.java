package org.fuchsiatrail.wire.forwarding;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHttpClient;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Fuchsiatrail;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.CacheEventsReply;
import org.fuchsiatrail.forwarding.CallerLimits;
import org.fuchsiatrail.forwarding.Dispatch;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.forwarding.Route;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.StoreReply;
import org.fuchsiatrail.forwarding.UpstreamEntry;
import org.fuchsiatrail.wire.SteadyClock;
import org.fuchsiatrail.wire.http.HttpExchange;
import org.fuchsiatrail.wire.http.HttpLimits;
import org.fuchsiatrail.wire.http.HttpListener;
import org.fuchsiatrail.wire.memory.MemoryBudget;
import org.fuchsiatrail.wire.observe.RouterMetrics;
import org.fuchsiatrail.wire.peer.PeerTransport;

/** A forwarding loop over real sockets, with a store in memory and two upstreams that answer every request. */
final class LoopOnLoopback implements AutoCloseable {

    static final String HOST = "courses.example";
    static final String ATTEMPT = "X-Attempt";
    /** The header that names the step at which the dialect throws: call, dispatch or head. */
    static final String THROW_AT = "X-Throw-At";

    static final String PIECE = "id: %d\ndata: %s\n\n";
    static final int PIECES = 4;
    private static final long PIECE_INTERVAL_MILLIS = 15;

    final RouterMetrics metrics = new RouterMetrics();
    /** How often each request was run, by the caller's id of its attempt. */
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    /** The request target that an upstream received, by the caller's id of its attempt. */
    final Map<String, String> targets = new ConcurrentHashMap<>();

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoopGroup upstreamGroup = new NioEventLoopGroup(1);
    private final Queue<HttpListener> listeners = new ConcurrentLinkedQueue<>();
    private final AsyncHttpClient http;
    private final PeerTransport peers;
    private final HttpListener callers;

    /**
     * Starts a loop.
     *
     * @param coreDecorator wraps the core
     * @param outputDecorator wraps the execution of each output
     */
    LoopOnLoopback(
            UnaryOperator<ForwardingCore> coreDecorator, UnaryOperator<Consumer<ForwardingOutput>> outputDecorator) {
        this(coreDecorator, outputDecorator, "127.0.0.1:1");
    }

    /** Starts a loop with a further upstream, which serves the requests of which paths begin with /raw/ or /events/. */
    LoopOnLoopback(String rawUpstream) {
        this(UnaryOperator.identity(), UnaryOperator.identity(), rawUpstream);
    }

    /** Starts a loop with both. */
    LoopOnLoopback(
            UnaryOperator<ForwardingCore> coreDecorator,
            UnaryOperator<Consumer<ForwardingOutput>> outputDecorator,
            String rawUpstream) {
        EventLoop eventLoop = (EventLoop) group.next();
        Dialect dialect = new Dialect();
        http = UpstreamClients.create(group, eventLoop, dialect, metrics, 0);
        EntryVm self = new EntryVm(new EntryVmId("vm-1"), new FailureDomain("lima-a"), "127.0.0.1:1", false);
        ForwardingCore core = coreDecorator.apply(Fuchsiatrail.forwarding(
                ForwardingSettings.builder().self(self).seed(7).build()));
        ForwardingLoop loop = new ForwardingLoop(
                new ForwardingDependencies(
                        eventLoop,
                        core,
                        http,
                        dialect,
                        new Store(List.of(startUpstream(), startUpstream()), rawUpstream),
                        new Engines(),
                        metrics,
                        SteadyClock.ofThisMachine(),
                        java.time.Clock.systemUTC()::millis,
                        () -> {},
                        MemoryBudget.unlimited()),
                outputDecorator);
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        peers = new PeerTransport(
                group, self.id(), anyPort, "secret", loop::receivePeerMessage, SteadyClock.ofThisMachine());
        callers = HttpListener.listen(group, anyPort, HttpLimits.internal(), null, loop);
        eventLoop.submit(() -> loop.start(peers)).syncUninterruptibly();
    }

    int port() {
        return callers.port();
    }

    long counter(String name) {
        return metrics.asPrometheus()
                .lines()
                .filter(line -> line.startsWith(name.replace('.', '_') + " "))
                .mapToLong(line -> Math.round(Double.parseDouble(line.substring(line.indexOf(' ') + 1))))
                .sum();
    }

    private String startUpstream() {
        HttpListener listener = HttpListener.listen(
                upstreamGroup, new InetSocketAddress("127.0.0.1", 0), HttpLimits.internal(), null, this::run);
        listeners.add(listener);
        return "127.0.0.1:" + listener.port();
    }

    private void run(HttpExchange exchange) {
        String attempt = exchange.header(ATTEMPT).orElse("");
        runs.computeIfAbsent(attempt, id -> new AtomicInteger()).incrementAndGet();
        targets.put(attempt, exchange.uri());
        Map<String, String> headers =
                Map.of(ATTEMPT, attempt, THROW_AT, exchange.header(THROW_AT).orElse("none"));
        if (exchange.path().startsWith("/ask/") || exchange.path().startsWith("/mark/")) {
            exchange.beginStream(200, withEventStream(headers));
            sendPieces(exchange, attempt, 1);
        } else {
            byte[] body = ("done " + attempt).getBytes(StandardCharsets.UTF_8);
            upstreamGroup.schedule(
                    () -> exchange.respond(200, headers, body), PIECE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static Map<String, String> withEventStream(Map<String, String> headers) {
        Map<String, String> streamHeaders = new HashMap<>(headers);
        streamHeaders.put("Content-Type", "text/event-stream");
        return streamHeaders;
    }

    private void sendPieces(HttpExchange exchange, String attempt, int number) {
        if (number > PIECES) {
            exchange.endStream();
            return;
        }
        if (number == PIECES && exchange.path().endsWith("/cut")) {
            exchange.abort();
            return;
        }
        exchange.sendChunk(String.format(PIECE, number, attempt).getBytes(StandardCharsets.UTF_8));
        upstreamGroup.schedule(
                () -> sendPieces(exchange, attempt, number + 1), PIECE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws Exception {
        callers.close();
        peers.close();
        http.close();
        listeners.forEach(HttpListener::close);
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        upstreamGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Reads the headers that the tests send. */
    private static final class Dialect implements CallDialect {

        @Override
        public ForwardedCall parseCall(HttpExchange exchange) {
            throwIfAsked(exchange.headers(), "call");
            return new ForwardedCall(
                    exchange.header(ATTEMPT).orElse(""),
                    HOST,
                    exchange.path(),
                    "",
                    exchange.header("X-Deadline").map(Long::parseLong).orElse(1_500L),
                    "",
                    0,
                    0,
                    List.of(),
                    "",
                    "",
                    Optional.empty(),
                    exchange.uri().hashCode());
        }

        private static void throwIfAsked(HttpHeaders headers, String step) {
            if (step.equals(headers.get(THROW_AT))) {
                throw new UnsupportedOperationException("thrown by the test");
            }
        }

        @Override
        public void writeDispatchHeaders(HttpHeaders headers, Dispatch dispatch) {
            throwIfAsked(headers, "dispatch");
            headers.set("X-Remaining", dispatch.remainingMillis());
        }

        @Override
        public void writeRefusalHeaders(HttpHeaders headers, ForwardedCall call) {}

        @Override
        public Optional<String> answeredAttemptId(HttpHeaders headers) {
            return Optional.ofNullable(headers.get(ATTEMPT));
        }

        @Override
        public AttemptEvent.Head parseHead(int status, HttpHeaders headers) {
            throwIfAsked(headers, "head");
            return AttemptEvent.Head.builder(status).verified(true).build();
        }
    }

    /** Holds a configuration and the two upstreams, which serve both services. */
    private record Store(List<String> addresses, String rawUpstream) implements StoreGateway {

        @Override
        public void call(StoreCall call, long timeoutMillis, Consumer<Answer> listener) {
            switch (call) {
                case StoreCall.ReadAll read -> reply(listener, new StoreReply.Page(items(), false, 10));
                case StoreCall.Watch watch -> {}
                case StoreCall.GrantLease grant ->
                    reply(listener, new StoreReply.LeaseGranted(9, grant.lifetimeMillis()));
                default -> reply(listener, new StoreReply.Failed(false, "not supported by the test"));
            }
        }

        private static void reply(Consumer<Answer> listener, StoreReply reply) {
            listener.accept(new Answer(reply));
        }

        private List<StoreItem> items() {
            RoutingTable table = new RoutingTable(
                    1,
                    List.of(
                            route("/read/", RequestKind.IDEMPOTENT, false, 2),
                            route("/issue/", RequestKind.NOT_IDEMPOTENT, false, 1),
                            route("/ask/", RequestKind.STREAM, true, 2),
                            route("/mark/", RequestKind.STREAM, false, 1),
                            route("/raw/", RequestKind.NOT_IDEMPOTENT, false, 1),
                            route("/events/", RequestKind.STREAM, false, 1)),
                    List.of(
                            new ServiceDefinition("records", 100, Optional.empty(), Optional.empty()),
                            new ServiceDefinition("raw", 100, Optional.empty(), Optional.empty())),
                    List.of(),
                    CallerLimits.DEFAULTS);
            return List.of(
                    new StoreItem("configuration", 1, new byte[] {1}, new StoreItemContent.Routing(table)),
                    upstream("one", 2, "records", addresses.get(0)),
                    upstream("two", 3, "records", addresses.get(1)),
                    upstream("raw", 4, "raw", rawUpstream));
        }

        private static Route route(String prefix, RequestKind kind, boolean resumable, int attempts) {
            return new Route(
                    "route " + prefix,
                    HOST,
                    prefix,
                    kind,
                    resumable,
                    false,
                    false,
                    attempts,
                    3_000,
                    1_000,
                    0,
                    List.of(new Route.Target(
                            prefix.equals("/raw/") || prefix.equals("/events/") ? "raw" : "records", 1)));
        }

        private static StoreItem upstream(String id, long revision, String service, String address) {
            UpstreamEntry entry = new UpstreamEntry(
                    new UpstreamId(id), 1, service, address, new FailureDomain("lima-a"), 64, false, "v1", Map.of());
            return new StoreItem("servers/" + id, revision, new byte[] {1}, new StoreItemContent.Upstream(entry));
        }

        @Override
        public StoreItem parseItem(PeerMessage.RelayedItem item) {
            throw new IllegalArgumentException("the tests relay no items");
        }
    }

    /** Leaves orders and queries without effect. */
    private static final class Engines implements EngineGateway {

        @Override
        public void sendOrder(ForwardingOutput.OrderWeights order, Consumer<OrderReply> listener) {
            listener.accept(new OrderReply.Busy());
        }

        @Override
        public void queryState(ForwardingOutput.QueryEngineState query, Consumer<OrderReply> listener) {
            listener.accept(new OrderReply.State(false, 0, Map.of()));
        }

        @Override
        public void readCacheEvents(ForwardingOutput.ReadCacheEvents query, Consumer<CacheEventsReply> listener) {
            listener.accept(new CacheEventsReply.Failed("not supported by the test"));
        }

        @Override
        public void readCacheSnapshot(ForwardingOutput.ReadCacheSnapshot query, Consumer<CacheEventsReply> listener) {
            listener.accept(new CacheEventsReply.Failed("not supported by the test"));
        }
    }
}
