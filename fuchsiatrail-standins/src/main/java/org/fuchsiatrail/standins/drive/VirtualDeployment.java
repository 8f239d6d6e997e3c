package org.fuchsiatrail.standins.drive;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.RouterSettings;
import org.fuchsiatrail.ServiceCall;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.standins.model.EngineModel;
import org.fuchsiatrail.standins.model.EngineTraits;
import org.fuchsiatrail.standins.model.StoreModel;

/**
 * Routers, engines, a service and a store in one thread, on a time that moves a millisecond a step, from one seed.
 *
 * <p>Everything goes through the {@code tick} seam of the routers; nothing here decides anything for them.
 */
public final class VirtualDeployment {

    private static final long START_MILLIS = 1_000_000;

    private final VirtualTime time = new VirtualTime(START_MILLIS);
    private final SplittableRandom random;
    private final Faults faults = new Faults();
    private final StoreModel store = new StoreModel();
    private final VirtualNetwork network;
    private final VirtualEngines engines;
    private final VirtualServices services;
    private final Map<EntryVmId, VirtualRouter> routers = new LinkedHashMap<>();
    private final Map<RequestId, CallerRecord> callers = new LinkedHashMap<>();
    private final Map<Long, OperatorAnswer> operatorAnswers = new LinkedHashMap<>();
    private final Map<String, Long> counters = new TreeMap<>();
    private final List<String> notes = new ArrayList<>();
    private long nextRequest = 1;
    private long nextOperatorCall = 1;

    /**
     * Creates a deployment without routers and engines.
     *
     * @param seed the seed of every random choice
     * @param domainDistanceMillis the delay between failure domains
     */
    public VirtualDeployment(long seed, long domainDistanceMillis) {
        random = new SplittableRandom(seed);
        network = new VirtualNetwork(time, random, faults, store, domainDistanceMillis);
        engines = new VirtualEngines(time, random, faults, network);
        services = new VirtualServices(time, random, faults);
    }

    /**
     * Adds a router and starts it.
     *
     * @param id its entry VM
     * @param domain its failure domain
     * @param settings its settings without self and incarnation
     * @return the router
     */
    public VirtualRouter addRouter(String id, String domain, RouterSettings.Builder settings) {
        EntryVm vm = new EntryVm(new EntryVmId(id), new FailureDomain(domain), id + ":1", false);
        VirtualRouter router = new VirtualRouter(vm, settings);
        routers.put(vm.id(), router);
        router.start(time.now());
        listRouters();
        return router;
    }

    private void listRouters() {
        store.list(routers.values().stream().map(VirtualRouter::vm).toList());
    }

    /**
     * Adds an engine.
     *
     * @param domain its failure domain
     * @param traits its properties
     */
    public void addEngine(String domain, EngineTraits traits) {
        engines.add(new FailureDomain(domain), new EngineModel(traits, 1));
    }

    /**
     * Moves the time.
     *
     * @param millis how far
     */
    public void run(long millis) {
        for (long step = 0; step < millis; step++) {
            step();
        }
    }

    /**
     * Moves the time until something holds.
     *
     * @param condition what to wait for
     * @param mostMillis how long at most
     * @return whether it holds
     */
    public boolean runUntil(BooleanSupplier condition, long mostMillis) {
        for (long step = 0; step < mostMillis && !condition.getAsBoolean(); step++) {
            step();
        }
        return condition.getAsBoolean();
    }

    private void step() {
        time.step();
        store.advance(time.now());
        engines.step();
        for (VirtualRouter router : List.copyOf(routers.values())) {
            for (Output output : router.tick(time.now())) {
                handle(router, output);
            }
        }
    }

    private void handle(VirtualRouter router, Output output) {
        switch (output) {
            case Output.StartEngine start -> engines.start(router, start);
            case Output.CancelEngine cancel -> engines.cancel(cancel);
            case Output.CallService call -> services.call(router, call);
            case Output.QueryLoad ask -> engines.askLoad(router, ask);
            case Output.ReadCacheEvents read -> engines.readEvents(router, read);
            case Output.OrderLoad order -> engines.order(router, order);
            case Output.SendToPeer send -> network.sendPeer(router, routers.get(send.to()), send);
            case Output.CallStore call -> network.callStore(router, call);
            case Output.AnswerCaller answer -> takeAnswer(answer);
            case Output.AnswerOperator answer -> operatorAnswers.put(answer.call(), answer.answer());
            case Output.LogEvent note ->
                notes.add(time.now() - START_MILLIS + " " + router.vm().id() + " " + note);
            case Output.Count count -> counters.merge(count.metric(), count.amount(), Long::sum);
            case Output.Stopped stopped -> router.markStopped();
        }
    }

    private void takeAnswer(Output.AnswerCaller answer) {
        CallerRecord caller = callers.get(answer.request());
        if (caller != null) {
            caller.take(time.now(), answer.answer());
        }
    }

    /**
     * Sends a chat request.
     *
     * @param router the router asked
     * @param apiKey the caller's key
     * @param call the call
     * @return what the caller sees, filled as time moves
     */
    public CallerRecord chat(VirtualRouter router, String apiKey, ChatCall call) {
        CallerRecord caller = remember(router, apiKey);
        router.give(router.life(), new Input.ChatArrived(caller.request(), apiKey, call));
        return caller;
    }

    /**
     * Calls a plain service.
     *
     * @param router the router asked
     * @param apiKey the caller's key
     * @param call the call
     * @return what the caller sees, filled as time moves
     */
    public CallerRecord service(VirtualRouter router, String apiKey, ServiceCall call) {
        CallerRecord caller = remember(router, apiKey);
        router.give(router.life(), new Input.ServiceArrived(caller.request(), apiKey, call));
        return caller;
    }

    private CallerRecord remember(VirtualRouter router, String apiKey) {
        RequestId request = new RequestId("request-" + nextRequest++);
        CustomerId customer = new CustomerId(apiKey.substring(0, apiKey.indexOf('.')));
        CallerRecord caller = new CallerRecord(request, customer, router.vm().id(), time.now());
        callers.put(request, caller);
        if (!router.isUp()) {
            caller.loseConnection();
        }
        return caller;
    }

    /**
     * Gives a router inputs made up by a test.
     *
     * @param router the router
     * @param inputs the inputs
     */
    public void inject(VirtualRouter router, List<Input> inputs) {
        inputs.forEach(input -> router.give(router.life(), input));
    }

    /**
     * Has a caller close its connection.
     *
     * @param caller the caller
     */
    public void leave(CallerRecord caller) {
        VirtualRouter router = routers.get(caller.router());
        caller.loseConnection();
        router.give(router.life(), new Input.CallerLeft(caller.request()));
    }

    /**
     * Asks a router as an operator does.
     *
     * @param router the router
     * @param request the question
     * @return the number of the question
     */
    public long ask(VirtualRouter router, OperatorRequest request) {
        long call = nextOperatorCall++;
        router.give(router.life(), new Input.OperatorAsked(call, request));
        return call;
    }

    /**
     * Returns the answer to an operator's question.
     *
     * @param call the number of the question
     * @return the answer, or null
     */
    public OperatorAnswer operatorAnswer(long call) {
        return operatorAnswers.get(call);
    }

    /**
     * Plans and confirms an intent, and moves the time until it is answered.
     *
     * @param router the router asked
     * @param intent the intent
     * @return the answer to the confirmation, or to a plan that was refused
     */
    public OperatorAnswer putInForce(VirtualRouter router, Intent intent) {
        long plan = ask(router, new OperatorRequest.Plan(intent));
        runUntil(() -> operatorAnswers.containsKey(plan), 20_000);
        if (!(operatorAnswers.get(plan) instanceof OperatorAnswer.Planned planned)) {
            return operatorAnswers.get(plan);
        }
        long confirm = ask(router, new OperatorRequest.Confirm(planned.planId(), intent));
        runUntil(() -> operatorAnswers.containsKey(confirm), 20_000);
        return operatorAnswers.get(confirm);
    }

    /**
     * Kills a router.
     *
     * @param router the router
     */
    public void kill(VirtualRouter router) {
        router.kill();
        engines.routerDied(router);
        callers.values().stream()
                .filter(caller -> caller.router().equals(router.vm().id()))
                .forEach(CallerRecord::loseConnection);
    }

    /**
     * Starts a router that was killed or stopped.
     *
     * @param router the router
     */
    public void restart(VirtualRouter router) {
        router.start(time.now());
    }

    /**
     * Freezes a router.
     *
     * @param router the router
     * @param millis for how long
     */
    public void pause(VirtualRouter router, long millis) {
        router.pause(time.now() + millis);
    }

    /**
     * Asks a router to stop.
     *
     * @param router the router
     */
    public void stop(VirtualRouter router) {
        router.give(router.life(), new Input.StopAsked());
    }

    /**
     * Crashes an engine, which comes back empty.
     *
     * @param engine the engine
     * @param downMillis how long it is away
     */
    public void crash(UpstreamId engine, long downMillis) {
        engines.crash(engine, downMillis);
    }

    /**
     * Freezes an engine.
     *
     * @param engine the engine
     * @param millis for how long
     */
    public void freeze(UpstreamId engine, long millis) {
        engines.freeze(engine, millis);
    }

    /**
     * Makes a text in a prompt crash engines.
     *
     * @param text the text
     */
    public void poison(String text) {
        engines.poison(text);
    }

    /**
     * Returns the engines crashed by the poison.
     *
     * @return a count
     */
    public int poisonCrashes() {
        return engines.poisonCrashes();
    }

    /**
     * Returns the most weight loads that were under way at once.
     *
     * @return a count
     */
    public int mostLoads() {
        return engines.mostLoads();
    }

    /**
     * Returns when and where each attempt arrived at an engine.
     *
     * @param engine the engine
     * @return times in milliseconds
     */
    public List<Long> startsAt(UpstreamId engine) {
        return engines.starts().stream()
                .filter(start -> start.engine().equals(engine))
                .map(VirtualEngines.Started::atMillis)
                .toList();
    }

    /**
     * Returns how many attempts arrived at engines.
     *
     * @return a count
     */
    public int starts() {
        return engines.starts().size();
    }

    /**
     * Returns how often each customer and idempotency key ran.
     *
     * @return runs by customer and key
     */
    public Map<String, Integer> runsByKey() {
        return services.runsByKey();
    }

    /**
     * Returns how often each request ran at a service.
     *
     * @return runs by request
     */
    public Map<RequestId, Integer> runsByRequest() {
        return services.runsByRequest();
    }

    /**
     * Returns the engines.
     *
     * @return engines by name
     */
    public Map<UpstreamId, EngineModel> engines() {
        return engines.all();
    }

    /**
     * Returns the failure domain of an engine.
     *
     * @param engine the engine
     * @return its domain
     */
    public FailureDomain domainOf(UpstreamId engine) {
        return engines.domain(engine);
    }

    /**
     * Returns the routers.
     *
     * @return in the order they were added
     */
    public List<VirtualRouter> routers() {
        return List.copyOf(routers.values());
    }

    /**
     * Returns every caller's record.
     *
     * @return in the order they asked
     */
    public List<CallerRecord> callers() {
        return List.copyOf(callers.values());
    }

    /**
     * Returns a counter summed over all routers and lives.
     *
     * @param name its name
     * @return its value
     */
    public long counter(String name) {
        return counters.getOrDefault(name, 0L);
    }

    /**
     * Returns the log of all routers.
     *
     * @return one line an event
     */
    public List<String> notes() {
        return notes;
    }

    /**
     * Returns the faults, to be set and healed.
     *
     * @return the faults
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Returns the store.
     *
     * @return the store
     */
    public StoreModel store() {
        return store;
    }

    /**
     * Returns the time.
     *
     * @return milliseconds
     */
    public long now() {
        return time.now();
    }

    /**
     * Returns the seeded random numbers.
     *
     * @return the generator
     */
    public SplittableRandom random() {
        return random;
    }

    /**
     * Tells whether an answer ended a stream whole.
     *
     * @param caller the caller
     * @return true after an explicit end
     */
    public static boolean isWhole(CallerRecord caller) {
        return caller.last() instanceof CallerAnswer.End;
    }
}
