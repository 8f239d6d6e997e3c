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
 * A model of an engine that prefills prompts one after another in priority order, generates answers in a continuous
 * batch, and has a prefix cache of limited size.
 *
 * <p>The token at a position is a function of prompt, model version, adapter and position, so that an answer resumed at
 * another engine continues with the same tokens.
 */
public final class EngineModel {

    private static final int MAXIMUM_RETAINED_CACHE_EVENTS = 20_000;
    private static final int MILLIS_PER_SECOND = 1000;

    private final EngineTraits traits;
    private final Set<ModelVersion> loadedModels = new HashSet<>();
    private final Map<ModelVersion, Long> loadEndMillisByModel = new HashMap<>();
    private final LinkedHashMap<Long, Long> anchorByCheckpoint = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<CacheRun> retainedCacheEvents = new ArrayDeque<>();
    private final List<ActiveRequest> prefillQueue = new ArrayList<>();
    private final Map<RequestId, ActiveRequest> runningRequests = new LinkedHashMap<>();
    private final Deque<LoadReport> loadReports = new ArrayDeque<>();
    private final Set<String> appliedOrders = new HashSet<>();
    private long incarnation;
    private long firstEventSequence;
    private long prefillDoneUntilMillis;
    private long highestFencingToken;
    private boolean draining;
    private long computedTokens;
    private long promptTokens;

    /**
     * Creates an engine with an empty cache.
     *
     * @param traits its configuration
     * @param incarnation its first incarnation number
     */
    public EngineModel(EngineTraits traits, long incarnation) {
        this.traits = traits;
        this.incarnation = incarnation;
        loadedModels.addAll(traits.models());
    }

    private static final class ActiveRequest {
        private final EngineCall call;
        private final Consumer<EngineEvent> listener;
        private EngineEcho echo;
        private final PrefixChain chain;
        private long seed;
        private long position;
        private long nextTokenMillis;

        ActiveRequest(EngineCall call, Consumer<EngineEvent> listener, long incarnation) {
            this.call = call;
            this.listener = listener;
            this.echo = new EngineEcho(call.request(), call.customer(), incarnation, call.model());
            this.chain = PrefixChain.of(call.cacheSalt(), call.prompt());
            this.seed = seed(call, call.model());
            this.position = call.resumeFrom();
        }
    }

    /**
     * Returns the token that every engine generates at a position of an answer.
     *
     * @param call the request
     * @param position the position, from 0
     * @return the token's text
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
     * Queues a request for prefill, or refuses it with an event to the listener.
     *
     * @param now the current time in milliseconds
     * @param call the request
     * @param listener receives the request's events
     */
    public void start(long now, EngineCall call, Consumer<EngineEvent> listener) {
        if (draining) {
            listener.accept(new EngineEvent.Refused(call.request(), "draining", 0));
        } else if (call.expectedIncarnation() != 0 && call.expectedIncarnation() != incarnation) {
            listener.accept(new EngineEvent.Refused(call.request(), "incarnation", 0));
        } else if (!loadedModels.contains(call.model())) {
            listener.accept(new EngineEvent.Refused(call.request(), "weights", 0));
        } else if (prefillQueue.size() + runningRequests.size() >= traits.maximumStreams()) {
            listener.accept(new EngineEvent.Refused(call.request(), "busy", 200));
        } else {
            if (prefillQueue.isEmpty()) {
                prefillDoneUntilMillis = Math.max(prefillDoneUntilMillis, now);
            }
            prefillQueue.add(new ActiveRequest(call, listener, incarnation));
        }
    }

    /**
     * Cancels a queued or running request, without an event.
     *
     * @param request the request
     */
    public void cancel(RequestId request) {
        runningRequests.remove(request);
        prefillQueue.removeIf(queued -> queued.call.request().equals(request));
    }

    /**
     * Completes loads, prefills prompts and generates tokens up to a time.
     *
     * @param now the current time in milliseconds
     */
    public void advance(long now) {
        finishDueLoads(now);
        prefillQueuedPrompts(now);
        generateTokens(now);
        recordLoadReport(now);
    }

    private void finishDueLoads(long now) {
        loadEndMillisByModel.entrySet().removeIf(load -> {
            boolean due = now >= load.getValue();
            if (due) {
                loadedModels.add(load.getKey());
            }
            return due;
        });
    }

    private void prefillQueuedPrompts(long now) {
        while (!prefillQueue.isEmpty()) {
            ActiveRequest next = mostUrgentRequest();
            int cached = cachedTokens(next.chain);
            int uncached = next.chain.tokens() - cached;
            long cost = (long) uncached * MILLIS_PER_SECOND / traits.prefillTokensPerSecond();
            if (prefillDoneUntilMillis + cost > now) {
                return;
            }
            prefillDoneUntilMillis += cost;
            prefillQueue.remove(next);
            computedTokens += uncached;
            promptTokens += next.chain.tokens();
            storeInCache(next.chain);
            next.nextTokenMillis = prefillDoneUntilMillis;
            runningRequests.put(next.call.request(), next);
            next.listener.accept(new EngineEvent.Started(next.echo, cached, next.chain.tokens()));
        }
        prefillDoneUntilMillis = now;
    }

    private ActiveRequest mostUrgentRequest() {
        ActiveRequest best = prefillQueue.get(0);
        for (ActiveRequest request : prefillQueue) {
            if (request.call.priority() < best.call.priority()) {
                best = request;
            }
        }
        return best;
    }

    private int cachedTokens(PrefixChain chain) {
        int cached = 0;
        for (long checkpoint : chain.checkpoints()) {
            if (!anchorByCheckpoint.containsKey(checkpoint)) {
                break;
            }
            cached++;
        }
        return Math.min(chain.tokens(), cached * PrefixChain.CHECKPOINT_TOKENS);
    }

    private void storeInCache(PrefixChain chain) {
        long[] checkpoints = chain.checkpoints();
        List<Long> stored = new ArrayList<>();
        // The shortest prefix is touched last, so that eviction removes long prefixes before the short ones they
        // extend.
        for (int index = checkpoints.length - 1; index >= 0; index--) {
            if (anchorByCheckpoint.put(checkpoints[index], chain.anchor()) == null) {
                stored.add(checkpoints[index]);
            }
        }
        if (!stored.isEmpty()) {
            addCacheEvent(new CacheRun(
                    chain.anchor(), stored.stream().mapToLong(Long::longValue).toArray(), new long[0]));
        }
        while (anchorByCheckpoint.size() > traits.maximumCachedCheckpoints()) {
            Map.Entry<Long, Long> eldest =
                    anchorByCheckpoint.entrySet().iterator().next();
            anchorByCheckpoint.remove(eldest.getKey());
            addCacheEvent(new CacheRun(eldest.getValue(), new long[0], new long[] {eldest.getKey()}));
        }
    }

    private void addCacheEvent(CacheRun event) {
        retainedCacheEvents.addLast(event);
        if (retainedCacheEvents.size() > MAXIMUM_RETAINED_CACHE_EVENTS) {
            retainedCacheEvents.removeFirst();
            firstEventSequence++;
        }
    }

    private void generateTokens(long now) {
        for (ActiveRequest request : List.copyOf(runningRequests.values())) {
            while (request.position < request.call.maximumTokens() && now >= request.nextTokenMillis) {
                request.listener.accept(
                        new EngineEvent.Token(request.echo, request.position, token(request.seed, request.position)));
                request.position++;
                request.nextTokenMillis += traits.tokenIntervalMillis();
            }
            if (request.position >= request.call.maximumTokens()
                    && runningRequests.remove(request.call.request(), request)) {
                request.listener.accept(new EngineEvent.Ended(request.echo, request.position));
            }
        }
    }

    private void recordLoadReport(long now) {
        loadReports.addLast(currentLoad(now));
        while (loadReports.size() > 1
                && loadReports.peekFirst().takenAtMillis() < now - traits.loadReportDelayMillis()) {
            loadReports.removeFirst();
        }
    }

    private LoadReport currentLoad(long now) {
        long waiting = 0;
        for (ActiveRequest request : prefillQueue) {
            waiting += request.chain.tokens() - cachedTokens(request.chain);
        }
        return new LoadReport(
                traits.id(),
                incarnation,
                waiting,
                runningRequests.size() + prefillQueue.size(),
                traits.maximumStreams(),
                traits.prefillTokensPerSecond(),
                List.copyOf(loadedModels),
                draining,
                now);
    }

    /**
     * Returns the load report that a router receives now, which is as old as the configured delay.
     *
     * @param now the current time in milliseconds
     * @return the report
     */
    public LoadReport load(long now) {
        return loadReports.isEmpty() ? currentLoad(now) : loadReports.peekFirst();
    }

    /**
     * Returns the uncached prompt tokens in the queue at this moment, which no router can observe.
     *
     * @param now the current time in milliseconds
     * @return the number of tokens
     */
    public long actualQueuedTokens(long now) {
        return currentLoad(now).queuedTokens();
    }

    /**
     * Returns the tokens of a prompt that are cached at this moment, which no router can observe.
     *
     * @param chain the prompt's checkpoints
     * @return the number of tokens
     */
    public int actualCachedTokens(PrefixChain chain) {
        return cachedTokens(chain);
    }

    /**
     * Returns cache events. A sequence beyond the newest event, left over from an earlier incarnation, reads from the
     * oldest retained event.
     *
     * @param fromSequence the sequence number of the first event to return
     * @return the events from there on that are still retained
     */
    public CacheEvents cacheEvents(long fromSequence) {
        long next = firstEventSequence + retainedCacheEvents.size();
        long from = Math.max(fromSequence > next ? firstEventSequence : fromSequence, firstEventSequence);
        List<CacheRun> selected = new ArrayList<>();
        long sequence = firstEventSequence;
        for (CacheRun event : retainedCacheEvents) {
            if (sequence >= from) {
                selected.add(event);
            }
            sequence++;
        }
        return new CacheEvents(traits.id(), incarnation, from, next, selected);
    }

    /**
     * Accepts or refuses an order to load a model version.
     *
     * @param now the current time in milliseconds
     * @param order the order's id; an id that was accepted before has no further effect
     * @param model the model version
     * @param fencingToken the fencing token of the order lease
     * @return an empty text when accepted, otherwise the reason for the refusal
     */
    public String acceptLoadOrder(long now, String order, ModelVersion model, long fencingToken) {
        if (traits.checksFencing() && fencingToken < highestFencingToken) {
            return "outdated fencing token";
        }
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        if (appliedOrders.add(order) && !loadedModels.contains(model)) {
            loadEndMillisByModel.putIfAbsent(model, now + traits.weightLoadDurationMillis());
        }
        return "";
    }

    /** Clears all state, as a crash and a restart do; requests on the engine end without a final event. */
    public void restart() {
        incarnation++;
        loadedModels.clear();
        loadedModels.addAll(traits.models());
        loadEndMillisByModel.clear();
        anchorByCheckpoint.clear();
        retainedCacheEvents.clear();
        firstEventSequence = 0;
        prefillQueue.clear();
        runningRequests.clear();
        loadReports.clear();
        draining = false;
    }

    /**
     * Replaces a model's weights while requests run; their later events name the new version and contain its tokens.
     *
     * @param before the version to unload
     * @param after the version that replaces it
     */
    public void replaceWeights(ModelVersion before, ModelVersion after) {
        loadedModels.remove(before);
        loadedModels.add(after);
        List<ActiveRequest> affected = new ArrayList<>(prefillQueue);
        affected.addAll(runningRequests.values());
        for (ActiveRequest request : affected) {
            if (request.echo.model().equals(before)) {
                request.echo = new EngineEcho(request.echo.request(), request.echo.customer(), incarnation, after);
                request.seed = seed(request.call, after);
            }
        }
    }

    /**
     * Starts or ends draining.
     *
     * @param leaving whether the engine refuses new requests
     */
    public void setDraining(boolean leaving) {
        draining = leaving;
    }

    /**
     * Returns the requests on the engine.
     *
     * @return the running requests, then the queued ones
     */
    public List<RequestId> requests() {
        List<RequestId> all = new ArrayList<>(runningRequests.keySet());
        prefillQueue.forEach(request -> all.add(request.call.request()));
        return all;
    }

    /**
     * Returns the incarnation number, which grows by one with each restart.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the engine's configuration.
     *
     * @return the configuration
     */
    public EngineTraits traits() {
        return traits;
    }

    /**
     * Returns the prompt tokens that were prefilled in all incarnations.
     *
     * @return the number of tokens
     */
    public long computedTokens() {
        return computedTokens;
    }

    /**
     * Returns the prompt tokens, prefilled or cached, of all requests that were started in all incarnations.
     *
     * @return the number of tokens
     */
    public long promptTokens() {
        return promptTokens;
    }

    /**
     * Returns how many model versions are being loaded.
     *
     * @return the number of loads
     */
    public int loadsInProgress() {
        return loadEndMillisByModel.size();
    }

    /**
     * Returns the model versions that are loaded.
     *
     * @return the model versions
     */
    public Set<ModelVersion> models() {
        return Set.copyOf(loadedModels);
    }
}
