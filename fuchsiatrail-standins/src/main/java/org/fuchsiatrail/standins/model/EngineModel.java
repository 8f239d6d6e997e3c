package org.fuchsiatrail.standins.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fuchsiatrail.CacheEvents;
import org.fuchsiatrail.CacheRun;
import org.fuchsiatrail.EngineCall;
import org.fuchsiatrail.EngineEcho;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.RequestId;

/**
 * An engine that computes prompts one after another, most urgent first, generates answers in a continuous batch, and
 * keeps a limited cache of prefix checkpoints.
 *
 * <p>The token at a position is a function of prompt, model and position, so an answer resumed elsewhere is the same.
 */
public final class EngineModel {

    private static final int EVENTS_KEPT = 20_000;
    private static final int MILLIS_PER_SECOND = 1000;

    private final EngineTraits traits;
    private final Set<ModelVersion> models = new HashSet<>();
    private final Map<ModelVersion, Long> loading = new HashMap<>();
    private final LinkedHashMap<Long, Long> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<CacheRun> events = new ArrayDeque<>();
    private final List<Run> queue = new ArrayList<>();
    private final Map<RequestId, Run> running = new LinkedHashMap<>();
    private final Deque<LoadReport> reports = new ArrayDeque<>();
    private final Set<String> obeyed = new HashSet<>();
    private long incarnation;
    private long firstEvent;
    private long prefillClock;
    private long highestFencingToken;
    private boolean draining;
    private long computedTokens;
    private long promptTokens;

    /**
     * Creates an engine that holds nothing.
     *
     * @param traits its properties
     * @param incarnation the number of its life
     */
    public EngineModel(EngineTraits traits, long incarnation) {
        this.traits = traits;
        this.incarnation = incarnation;
        models.addAll(traits.models());
    }

    private static final class Run {
        private final EngineCall call;
        private final Consumer<EngineEvent> listener;
        private EngineEcho echo;
        private final PrefixChain chain;
        private long seed;
        private long position;
        private long nextTokenMillis;

        Run(EngineCall call, Consumer<EngineEvent> listener, long incarnation) {
            this.call = call;
            this.listener = listener;
            this.echo = new EngineEcho(call.request(), call.customer(), incarnation, call.model());
            this.chain = PrefixChain.of(call.cacheSalt(), call.prompt());
            this.seed = seed(call, call.model());
            this.position = call.resumeFrom();
        }
    }

    /**
     * Tells what the token at a position is.
     *
     * @param call the call
     * @param position the position
     * @return the token
     */
    public static String token(EngineCall call, long position) {
        return token(seed(call, call.model()), position);
    }

    private static long seed(EngineCall call, ModelVersion model) {
        return Hashing.xxh3_64().hashCharsToLong(call.prompt() + model + call.adapter());
    }

    private static String token(long seed, long position) {
        return Long.toString((seed ^ position * 0x9E3779B97F4A7C15L) >>> 44, 36) + " ";
    }

    /**
     * Takes a request.
     *
     * @param now the time
     * @param call the request
     * @param listener takes its events
     */
    public void start(long now, EngineCall call, Consumer<EngineEvent> listener) {
        if (draining) {
            listener.accept(new EngineEvent.Refused("draining", 0));
        } else if (call.expectedIncarnation() != 0 && call.expectedIncarnation() != incarnation) {
            listener.accept(new EngineEvent.Refused("incarnation", 0));
        } else if (!models.contains(call.model())) {
            listener.accept(new EngineEvent.Refused("weights", 0));
        } else if (queue.size() + running.size() >= traits.maximumStreams()) {
            listener.accept(new EngineEvent.Refused("busy", 200));
        } else {
            if (queue.isEmpty()) {
                prefillClock = Math.max(prefillClock, now);
            }
            queue.add(new Run(call, listener, incarnation));
        }
    }

    /**
     * Cancels a request.
     *
     * @param request the request
     */
    public void cancel(RequestId request) {
        running.remove(request);
        queue.removeIf(run -> run.call.request().equals(request));
    }

    /**
     * Does the work that is due.
     *
     * @param now the time
     */
    public void advance(long now) {
        finishLoads(now);
        computePrompts(now);
        generate(now);
        takeReport(now);
    }

    private void finishLoads(long now) {
        loading.entrySet().removeIf(load -> {
            boolean over = now >= load.getValue();
            if (over) {
                models.add(load.getKey());
            }
            return over;
        });
    }

    private void computePrompts(long now) {
        while (!queue.isEmpty()) {
            Run next = mostUrgent();
            int cached = cachedTokens(next.chain);
            int uncached = next.chain.tokens() - cached;
            long cost = (long) uncached * MILLIS_PER_SECOND / traits.prefillTokensPerSecond();
            if (prefillClock + cost > now) {
                return;
            }
            prefillClock += cost;
            queue.remove(next);
            computedTokens += uncached;
            promptTokens += next.chain.tokens();
            keep(next.chain);
            next.nextTokenMillis = prefillClock;
            running.put(next.call.request(), next);
            next.listener.accept(new EngineEvent.Started(next.echo, cached, next.chain.tokens()));
        }
        prefillClock = now;
    }

    private Run mostUrgent() {
        Run best = queue.get(0);
        for (Run run : queue) {
            if (run.call.priority() < best.call.priority()) {
                best = run;
            }
        }
        return best;
    }

    private int cachedTokens(PrefixChain chain) {
        int held = 0;
        for (long checkpoint : chain.checkpoints()) {
            if (!cache.containsKey(checkpoint)) {
                break;
            }
            held++;
        }
        return Math.min(chain.tokens(), held * PrefixChain.CHECKPOINT_TOKENS);
    }

    private void keep(PrefixChain chain) {
        long[] checkpoints = chain.checkpoints();
        List<Long> stored = new ArrayList<>();
        for (int index = checkpoints.length - 1; index >= 0; index--) {
            if (cache.put(checkpoints[index], chain.anchor()) == null) {
                stored.add(checkpoints[index]);
            }
        }
        if (!stored.isEmpty()) {
            addEvent(new CacheRun(
                    chain.anchor(), stored.stream().mapToLong(Long::longValue).toArray(), new long[0]));
        }
        while (cache.size() > traits.cacheCheckpoints()) {
            Map.Entry<Long, Long> eldest = cache.entrySet().iterator().next();
            cache.remove(eldest.getKey());
            addEvent(new CacheRun(eldest.getValue(), new long[0], new long[] {eldest.getKey()}));
        }
    }

    private void addEvent(CacheRun event) {
        events.addLast(event);
        if (events.size() > EVENTS_KEPT) {
            events.removeFirst();
            firstEvent++;
        }
    }

    private void generate(long now) {
        for (Run run : List.copyOf(running.values())) {
            while (run.position < run.call.maximumTokens() && now >= run.nextTokenMillis) {
                run.listener.accept(new EngineEvent.Token(run.echo, run.position, token(run.seed, run.position)));
                run.position++;
                run.nextTokenMillis += traits.tokenIntervalMillis();
            }
            if (run.position >= run.call.maximumTokens() && running.remove(run.call.request(), run)) {
                run.listener.accept(new EngineEvent.Ended(run.echo, run.position));
            }
        }
    }

    private void takeReport(long now) {
        reports.addLast(currentLoad(now));
        while (reports.size() > 1 && reports.peekFirst().takenAtMillis() < now - traits.loadLagMillis()) {
            reports.removeFirst();
        }
    }

    private LoadReport currentLoad(long now) {
        long waiting = 0;
        for (Run run : queue) {
            waiting += run.chain.tokens() - cachedTokens(run.chain);
        }
        return new LoadReport(
                traits.id(),
                incarnation,
                waiting,
                running.size() + queue.size(),
                traits.maximumStreams(),
                traits.prefillTokensPerSecond(),
                List.copyOf(models),
                draining,
                now);
    }

    /**
     * Returns the load, as old as the engine's lag.
     *
     * @param now the time
     * @return a report
     */
    public LoadReport load(long now) {
        return reports.isEmpty() ? currentLoad(now) : reports.peekFirst();
    }

    /**
     * Returns the true uncached prompt tokens that wait, which no router can know.
     *
     * @param now the time
     * @return tokens
     */
    public long trueQueuedTokens(long now) {
        return currentLoad(now).queuedTokens();
    }

    /**
     * Returns the true tokens of a prompt that the cache holds, which no router can know.
     *
     * @param chain the prompt's chain
     * @return tokens
     */
    public int trueCachedTokens(PrefixChain chain) {
        return cachedTokens(chain);
    }

    /**
     * Returns cache events.
     *
     * @param fromSequence the first event wanted
     * @return the events that are still kept
     */
    public CacheEvents cacheEvents(long fromSequence) {
        long next = firstEvent + events.size();
        long from = Math.max(fromSequence > next ? firstEvent : fromSequence, firstEvent);
        List<CacheRun> wanted = new ArrayList<>();
        long sequence = firstEvent;
        for (CacheRun run : events) {
            if (sequence >= from) {
                wanted.add(run);
            }
            sequence++;
        }
        return new CacheEvents(traits.id(), incarnation, from, next, wanted);
    }

    /**
     * Takes an order to load a model.
     *
     * @param now the time
     * @param order the order's id; the same id is obeyed once
     * @param model the model
     * @param fencingToken the token
     * @return an empty text when accepted, otherwise the reason
     */
    public String order(long now, String order, ModelVersion model, long fencingToken) {
        if (traits.checksFencing() && fencingToken < highestFencingToken) {
            return "old fencing token";
        }
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        if (obeyed.add(order) && !models.contains(model)) {
            loading.putIfAbsent(model, now + traits.weightLoadMillis());
        }
        return "";
    }

    /** Loses everything, as a crash and a restart do; running requests end without a word. */
    public void restart() {
        incarnation++;
        models.clear();
        models.addAll(traits.models());
        loading.clear();
        cache.clear();
        events.clear();
        firstEvent = 0;
        queue.clear();
        running.clear();
        reports.clear();
        draining = false;
    }

    /**
     * Replaces a model's weights under running requests, which from then on say that the new weights made them.
     *
     * @param before the version to unload
     * @param after the version to serve from now on
     */
    public void replaceWeights(ModelVersion before, ModelVersion after) {
        models.remove(before);
        models.add(after);
        List<Run> affected = new ArrayList<>(queue);
        affected.addAll(running.values());
        for (Run run : affected) {
            if (run.echo.model().equals(before)) {
                run.echo = new EngineEcho(run.echo.request(), run.echo.customer(), incarnation, after);
                run.seed = seed(run.call, after);
            }
        }
    }

    /**
     * Says that it is leaving, or not any more.
     *
     * @param leaving whether it refuses new work
     */
    public void drain(boolean leaving) {
        draining = leaving;
    }

    /**
     * Returns the requests on the engine.
     *
     * @return waiting and running
     */
    public List<RequestId> requests() {
        List<RequestId> all = new ArrayList<>(running.keySet());
        queue.forEach(run -> all.add(run.call.request()));
        return all;
    }

    /**
     * Returns the number of its life.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns its fixed properties.
     *
     * @return the properties
     */
    public EngineTraits traits() {
        return traits;
    }

    /**
     * Returns the prompt tokens computed in all lives.
     *
     * @return tokens
     */
    public long computedTokens() {
        return computedTokens;
    }

    /**
     * Returns the prompt tokens served in all lives, computed or cached.
     *
     * @return tokens
     */
    public long promptTokens() {
        return promptTokens;
    }

    /**
     * Returns how many models it is loading.
     *
     * @return loads
     */
    public int loadsUnderWay() {
        return loading.size();
    }

    /**
     * Returns the models it has loaded.
     *
     * @return models
     */
    public Set<ModelVersion> models() {
        return Set.copyOf(models);
    }
}
