package org.fuchsiatrail.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.HdrHistogram.ConcurrentHistogram;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.Response;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EngineCall;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.wire.WireMapper;
import org.fuchsiatrail.wire.client.HttpClients;

/**
 * Measures, over loopback, the latency that a running router adds and the tokens per second that it forwards. For the
 * latency, requests go directly to an engine and through the router in alternate rounds of a fixed duration.
 */
final class RouterOverheadExperiment {

    private static final InstantSource CLOCK = InstantSource.system();
    private static final long MAXIMUM_RECORDED_MICROS = 60_000_000;
    private static final int CLIENT_THREADS = 2;
    private static final int WARM_UP_SECONDS = 5;
    private static final int TOKENS_PER_ANSWER = 2;

    private final AsyncHttpClient http = HttpClients.create(CLIENT_THREADS);
    private final ObjectMapper engineMapper = WireMapper.json();
    private final ObjectMapper callerMapper = new ObjectMapper();
    private final String engineAddress;
    private final String routerAddress;
    private final String apiKey;
    private final PrintStream out;
    private final AtomicLong lastRequestNumber = new AtomicLong();

    RouterOverheadExperiment(String engineAddress, String routerAddress, String apiKey, PrintStream out) {
        this.engineAddress = engineAddress;
        this.routerAddress = routerAddress;
        this.apiKey = apiKey;
        this.out = out;
    }

    /** Sends requests with short answers at a fixed rate and prints the time to the first token of each round. */
    void measureFirstTokenTime(int requestsPerSecond, int seconds) throws InterruptedException {
        measure("warm-straight", requestsPerSecond, WARM_UP_SECONDS, false);
        measure("warm-through", requestsPerSecond, WARM_UP_SECONDS, true);
        out.println("| way | requests/s | p50 ms | p99 ms | answers |");
        out.println("|---|---|---|---|---|");
        for (int round = 1; round <= 2; round++) {
            print("straight " + round, requestsPerSecond, measure("s" + round, requestsPerSecond, seconds, false));
            print("through " + round, requestsPerSecond, measure("t" + round, requestsPerSecond, seconds, true));
        }
    }

    private void print(String label, int requestsPerSecond, ConcurrentHistogram firstTokenMicros) {
        out.printf(
                Locale.ROOT,
                "| %s | %d | %.2f | %.2f | %d |%n",
                label,
                requestsPerSecond,
                firstTokenMicros.getValueAtPercentile(50) / 1000.0,
                firstTokenMicros.getValueAtPercentile(99) / 1000.0,
                firstTokenMicros.getTotalCount());
    }

    private ConcurrentHistogram measure(String name, int requestsPerSecond, int seconds, boolean throughRouter)
            throws InterruptedException {
        ConcurrentHistogram firstTokenMicros = new ConcurrentHistogram(MAXIMUM_RECORDED_MICROS, 3);
        int requestCount = requestsPerSecond * seconds;
        CountDownLatch done = new CountDownLatch(requestCount);
        AtomicLong sentRequests = new AtomicLong();
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
        Runnable sendNext = () -> {
            if (sentRequests.incrementAndGet() <= requestCount) {
                send(name, throughRouter, TOKENS_PER_ANSWER, firstTokenMicros, done);
            }
        };
        scheduler.scheduleAtFixedRate(sendNext, 0, 1_000_000 / requestsPerSecond, TimeUnit.MICROSECONDS);
        done.await(seconds + 20L, TimeUnit.SECONDS);
        scheduler.shutdownNow();
        return firstTokenMicros;
    }

    /** Keeps many streams open through the router at once and prints the tokens forwarded per second. */
    void measureThroughput(int streams, int tokens) throws InterruptedException {
        ConcurrentHistogram firstTokenMicros = new ConcurrentHistogram(MAXIMUM_RECORDED_MICROS, 3);
        CountDownLatch done = new CountDownLatch(streams);
        Instant startedAt = CLOCK.instant();
        for (int stream = 0; stream < streams; stream++) {
            send("relay", true, tokens, firstTokenMicros, done);
        }
        boolean allEnded = done.await(120, TimeUnit.SECONDS);
        double seconds = Duration.between(startedAt, CLOCK.instant()).toMillis() / 1000.0;
        out.printf(
                Locale.ROOT,
                "%d streams of %d tokens: %.0f tokens/s over %.1f s, all ended: %s%n",
                streams,
                tokens,
                (double) streams * tokens / seconds,
                seconds,
                allEnded);
    }

    private void send(
            String name, boolean throughRouter, int tokens, ConcurrentHistogram firstTokenMicros, CountDownLatch done) {
        long number = lastRequestNumber.incrementAndGet();
        String prompt = name + " question " + number + " ".repeat(60);
        FirstTokenHandler handler = new FirstTokenHandler(CLOCK.instant(), firstTokenMicros, done);
        try {
            if (throughRouter) {
                sendToRouter(prompt, tokens, handler);
            } else {
                sendToEngine(number, prompt, tokens, handler);
            }
        } catch (IOException e) {
            done.countDown();
        }
    }

    private void sendToRouter(String prompt, int tokens, FirstTokenHandler handler) throws IOException {
        Map<String, Object> body = Map.of("model", "tutor", "stream", true, "max_tokens", tokens, "prompt", prompt);
        http.preparePost("http://" + routerAddress + "/v1/chat/completions")
                .setHeader("Authorization", "Bearer " + apiKey)
                .setBody(callerMapper.writeValueAsBytes(body))
                .execute(handler);
    }

    private void sendToEngine(long number, String prompt, int tokens, FirstTokenHandler handler) throws IOException {
        RequestId request = new RequestId("direct-" + number);
        ModelVersion model = new ModelVersion("tutor", "2026-11");
        EngineCall call =
                new EngineCall(request, new CustomerId("direct"), model, "", "salt", 0, prompt, 0, tokens, 0, "");
        http.preparePost("http://" + engineAddress + "/v1/run")
                .setBody(engineMapper.writeValueAsBytes(call))
                .execute(handler);
    }

    void close() throws IOException {
        http.close();
    }

    /** Records the time to the first token; engine events and caller events mark a token by different text. */
    private static final class FirstTokenHandler extends AsyncCompletionHandlerBase {
        private static final List<String> TOKEN_MARKERS = List.of("\"type\":\"Token\"", "\"delta\"");

        private final Instant sentAt;
        private final ConcurrentHistogram firstTokenMicros;
        private final CountDownLatch done;
        private boolean firstTokenReceived;

        FirstTokenHandler(Instant sentAt, ConcurrentHistogram firstTokenMicros, CountDownLatch done) {
            this.sentAt = sentAt;
            this.firstTokenMicros = firstTokenMicros;
            this.done = done;
        }

        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            String text = new String(part.getBodyPartBytes(), StandardCharsets.UTF_8);
            if (!firstTokenReceived && TOKEN_MARKERS.stream().anyMatch(text::contains)) {
                firstTokenReceived = true;
                firstTokenMicros.recordValue(
                        Duration.between(sentAt, CLOCK.instant()).toNanos() / 1000);
            }
            return State.CONTINUE;
        }

        @Override
        public Response onCompleted(Response response) {
            done.countDown();
            return response;
        }

        @Override
        public void onThrowable(Throwable cause) {
            done.countDown();
        }
    }
}
