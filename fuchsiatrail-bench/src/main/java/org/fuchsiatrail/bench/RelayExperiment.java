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

/** Loads running processes over loopback, straight to an engine and through a router in turn, for a bounded time. */
final class RelayExperiment {

    private static final InstantSource CLOCK = InstantSource.system();
    private static final long LONGEST_MICROS = 60_000_000;
    private static final int CLIENT_THREADS = 2;
    private static final int WARM_UP_SECONDS = 5;
    private static final int FEW_TOKENS = 2;

    private final AsyncHttpClient http = HttpClients.create(CLIENT_THREADS);
    private final ObjectMapper engineForm = WireMapper.json();
    private final ObjectMapper callerForm = new ObjectMapper();
    private final String engine;
    private final String router;
    private final String key;
    private final PrintStream out;
    private final AtomicLong serial = new AtomicLong();

    RelayExperiment(String engine, String router, String key, PrintStream out) {
        this.engine = engine;
        this.router = router;
        this.key = key;
        this.out = out;
    }

    /** Sends requests at a rate, each with few tokens, and prints the time to the first token. */
    void firstToken(int requestsPerSecond, int seconds) throws InterruptedException {
        measure("warm-straight", requestsPerSecond, WARM_UP_SECONDS, false);
        measure("warm-through", requestsPerSecond, WARM_UP_SECONDS, true);
        out.println("| way | requests/s | p50 ms | p99 ms | answers |");
        out.println("|---|---|---|---|---|");
        for (int round = 1; round <= 2; round++) {
            print("straight " + round, requestsPerSecond, measure("s" + round, requestsPerSecond, seconds, false));
            print("through " + round, requestsPerSecond, measure("t" + round, requestsPerSecond, seconds, true));
        }
    }

    private void print(String way, int rate, ConcurrentHistogram times) {
        out.printf(
                Locale.ROOT,
                "| %s | %d | %.2f | %.2f | %d |%n",
                way,
                rate,
                times.getValueAtPercentile(50) / 1000.0,
                times.getValueAtPercentile(99) / 1000.0,
                times.getTotalCount());
    }

    private ConcurrentHistogram measure(String name, int rate, int seconds, boolean through)
            throws InterruptedException {
        ConcurrentHistogram times = new ConcurrentHistogram(LONGEST_MICROS, 3);
        int count = rate * seconds;
        CountDownLatch done = new CountDownLatch(count);
        AtomicLong sent = new AtomicLong();
        ScheduledExecutorService pace = Executors.newScheduledThreadPool(1);
        Runnable next = () -> {
            if (sent.incrementAndGet() <= count) {
                send(name, through, FEW_TOKENS, times, done);
            }
        };
        pace.scheduleAtFixedRate(next, 0, 1_000_000 / rate, TimeUnit.MICROSECONDS);
        done.await(seconds + 20L, TimeUnit.SECONDS);
        pace.shutdownNow();
        return times;
    }

    /** Keeps many streams open through the router and prints the tokens it relays a second. */
    void relay(int streams, int tokens) throws InterruptedException {
        ConcurrentHistogram times = new ConcurrentHistogram(LONGEST_MICROS, 3);
        CountDownLatch done = new CountDownLatch(streams);
        Instant started = CLOCK.instant();
        for (int stream = 0; stream < streams; stream++) {
            send("relay", true, tokens, times, done);
        }
        boolean all = done.await(120, TimeUnit.SECONDS);
        double seconds = Duration.between(started, CLOCK.instant()).toMillis() / 1000.0;
        out.printf(
                Locale.ROOT,
                "%d streams of %d tokens: %.0f tokens/s over %.1f s, all ended: %s%n",
                streams,
                tokens,
                (double) streams * tokens / seconds,
                seconds,
                all);
    }

    private void send(String name, boolean through, int tokens, ConcurrentHistogram times, CountDownLatch done) {
        long number = serial.incrementAndGet();
        String prompt = name + " question " + number + " ".repeat(60);
        FirstToken handler = new FirstToken(CLOCK.instant(), times, done);
        try {
            if (through) {
                sendThrough(prompt, tokens, handler);
            } else {
                sendStraight(number, prompt, tokens, handler);
            }
        } catch (IOException e) {
            done.countDown();
        }
    }

    private void sendThrough(String prompt, int tokens, FirstToken handler) throws IOException {
        Map<String, Object> body = Map.of("model", "tutor", "stream", true, "max_tokens", tokens, "prompt", prompt);
        http.preparePost("http://" + router + "/v1/chat/completions")
                .setHeader("Authorization", "Bearer " + key)
                .setBody(callerForm.writeValueAsBytes(body))
                .execute(handler);
    }

    private void sendStraight(long number, String prompt, int tokens, FirstToken handler) throws IOException {
        RequestId request = new RequestId("direct-" + number);
        ModelVersion model = new ModelVersion("tutor", "2026-11");
        EngineCall call =
                new EngineCall(request, new CustomerId("direct"), model, "", "salt", 0, prompt, 0, tokens, 0, "");
        http.preparePost("http://" + engine + "/v1/run")
                .setBody(engineForm.writeValueAsBytes(call))
                .execute(handler);
    }

    void close() throws IOException {
        http.close();
    }

    /** Remembers when the first token came, which each form marks by a word of its own. */
    private static final class FirstToken extends AsyncCompletionHandlerBase {
        private static final List<String> MARKS = List.of("\"type\":\"Token\"", "\"delta\"");

        private final Instant sent;
        private final ConcurrentHistogram times;
        private final CountDownLatch done;
        private boolean begun;

        FirstToken(Instant sent, ConcurrentHistogram times, CountDownLatch done) {
            this.sent = sent;
            this.times = times;
            this.done = done;
        }

        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            String text = new String(part.getBodyPartBytes(), StandardCharsets.UTF_8);
            if (!begun && MARKS.stream().anyMatch(text::contains)) {
                begun = true;
                times.recordValue(Duration.between(sent, CLOCK.instant()).toNanos() / 1000);
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
