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
 * Runs routers, engines, plain services and a store in one thread on virtual time, in steps of one millisecond. All
 * random choices come from one seed.
 *
 * <p>The routers are driven only through {@code RouterCore.tick}; this class makes no decisions for them.
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
    private final List<String> logLines = new ArrayList<>();
    private long nextRequestNumber = 1;
    private long nextOperatorCallNumber = 1;

    /**
     * Creates a deployment without routers and engines.
     *
     * @param seed the seed of all random choices
     * @param domainDistanceMillis the network delay between failure domains in milliseconds
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
     * @param settings its settings without its own entry VM and incarnation, which are set at each start
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
        store.setVms(routers.values().stream().map(VirtualRouter::vm).toList());
    }

    /**
     * Adds an engine.
     *
     * @param domain its failure domain
     * @param traits its configuration
     */
    public void addEngine(String domain, EngineTraits traits) {
        engines.add(new FailureDomain(domain), new EngineModel(traits, 1));
    }

    /**
     * Advances virtual time.
     *
     * @param millis the number of milliseconds
     */
    public void run(long millis) {
        for (long step = 0; step < millis; step++) {
            step();
        }
    }

    /**
     * Advances virtual time until a condition holds or a time limit has passed.
     *
     * @param condition the condition, which is checked before each step
     * @param maximumMillis the time limit in milliseconds
     * @return whether the condition holds
     */
    public boolean runUntil(BooleanSupplier condition, long maximumMillis) {
        for (long step = 0; step < maximumMillis && !condition.getAsBoolean(); step++) {
            step();
        }
        return condition.getAsBoolean();
    }

    private void step() {
        time.advance();
        store.advance(time.now());
        engines.advance();
        for (VirtualRouter router : List.copyOf(routers.values())) {
            for (Output output : router.tickIfDue(time.now())) {
                execute(router, output);
            }
        }
    }

    private void execute(VirtualRouter router, Output output) {
        switch (output) {
            case Output.StartEngine start -> engines.start(router, start);
            case Output.CancelEngine cancel -> engines.cancel(cancel);
            case Output.CallService call -> services.call(router, call);
            case Output.QueryLoad query -> engines.queryLoad(router, query);
            case Output.ReadCacheEvents read -> engines.readCacheEvents(router, read);
            case Output.OrderLoad order -> engines.sendLoadOrder(router, order);
            case Output.SendToPeer send -> network.sendToPeer(router, routers.get(send.to()), send);
            case Output.CallStore call -> network.callStore(router, call);
            case Output.AnswerCaller answer -> recordAnswer(answer);
            case Output.AnswerOperator answer -> operatorAnswers.put(answer.call(), answer.answer());
            case Output.LogEvent event ->
                logLines.add(time.now() - START_MILLIS + " " + router.vm().id() + " " + event);
            case Output.Count count -> counters.merge(count.metric(), count.amount(), Long::sum);
            case Output.Stopped stopped -> router.markStopped();
        }
    }

    private void recordAnswer(Output.AnswerCaller answer) {
        CallerRecord caller = callers.get(answer.request());
        if (caller != null) {
            caller.recordAnswer(time.now(), answer.answer());
        }
    }

    /**
     * Sends a chat request.
     *
     * @param router the router that receives the request
     * @param apiKey the caller's API key
     * @param call the call
     * @return the caller's record, which is filled as virtual time advances
     */
    public CallerRecord chat(VirtualRouter router, String apiKey, ChatCall call) {
        CallerRecord caller = registerCaller(router, apiKey);
        router.deliver(router.incarnation(), new Input.ChatArrived(caller.request(), apiKey, call));
        return caller;
    }

    /**
     * Calls a plain service.
     *
     * @param router the router that receives the request
     * @param apiKey the caller's API key
     * @param call the call
     * @return the caller's record, which is filled as virtual time advances
     */
    public CallerRecord service(VirtualRouter router, String apiKey, ServiceCall call) {
        CallerRecord caller = registerCaller(router, apiKey);
        router.deliver(router.incarnation(), new Input.ServiceArrived(caller.request(), apiKey, call));
        return caller;
    }

    private CallerRecord registerCaller(VirtualRouter router, String apiKey) {
        RequestId request = new RequestId("request-" + nextRequestNumber++);
        CustomerId customer = new CustomerId(apiKey.substring(0, apiKey.indexOf('.')));
        CallerRecord caller = new CallerRecord(request, customer, router.vm().id(), time.now());
        callers.put(request, caller);
        if (!router.isUp()) {
            caller.markConnectionLost();
        }
        return caller;
    }

    /**
     * Delivers inputs that a test has constructed to a router.
     *
     * @param router the router
     * @param inputs the inputs
     */
    public void inject(VirtualRouter router, List<Input> inputs) {
        inputs.forEach(input -> router.deliver(router.incarnation(), input));
    }

    /**
     * Closes the connection of a caller.
     *
     * @param caller the caller
     */
    public void disconnect(CallerRecord caller) {
        VirtualRouter router = routers.get(caller.router());
        caller.markConnectionLost();
        router.deliver(router.incarnation(), new Input.CallerLeft(caller.request()));
    }

    /**
     * Sends an operator request to a router.
     *
     * @param router the router
     * @param request the request
     * @return the call number, by which the answer can be read
     */
    public long sendOperatorRequest(VirtualRouter router, OperatorRequest request) {
        long call = nextOperatorCallNumber++;
        router.deliver(router.incarnation(), new Input.OperatorAsked(call, request));
        return call;
    }

    /**
     * Returns the answer to an operator request.
     *
     * @param call the call number
     * @return the answer, or null when there is none yet
     */
    public OperatorAnswer operatorAnswer(long call) {
        return operatorAnswers.get(call);
    }

    /**
     * Plans and confirms an intent, and advances virtual time until both requests are answered.
     *
     * @param router the router that receives the requests
     * @param intent the intent
     * @return the answer to the confirmation, or the answer to the plan when it was refused
     */
    public OperatorAnswer planAndConfirm(VirtualRouter router, Intent intent) {
        long plan = sendOperatorRequest(router, new OperatorRequest.Plan(intent));
        runUntil(() -> operatorAnswers.containsKey(plan), 20_000);
        if (!(operatorAnswers.get(plan) instanceof OperatorAnswer.Planned planned)) {
            return operatorAnswers.get(plan);
        }
        long confirm = sendOperatorRequest(router, new OperatorRequest.Confirm(planned.planId(), intent));
        runUntil(() -> operatorAnswers.containsKey(confirm), 20_000);
        return operatorAnswers.get(confirm);
    }

    /**
     * Kills a router; its callers lose their connections.
     *
     * @param router the router
     */
    public void kill(VirtualRouter router) {
        router.kill();
        engines.closeConnectionsOf(router);
        callers.values().stream()
                .filter(caller -> caller.router().equals(router.vm().id()))
                .forEach(CallerRecord::markConnectionLost);
    }

    /**
     * Starts a router that was killed or has stopped, with a new incarnation.
     *
     * @param router the router
     */
    public void restart(VirtualRouter router) {
        router.start(time.now());
    }

    /**
     * Pauses a router process; its inputs queue up.
     *
     * @param router the router
     * @param millis the duration in milliseconds
     */
    public void pause(VirtualRouter router, long millis) {
        router.pause(time.now() + millis);
    }

    /**
     * Requests a graceful shutdown of a router.
     *
     * @param router the router
     */
    public void requestStop(VirtualRouter router) {
        router.deliver(router.incarnation(), new Input.StopAsked());
    }

    /**
     * Crashes an engine, which loses its state and its connections.
     *
     * @param engine the engine
     * @param downMillis the time until it is reachable again, in milliseconds
     */
    public void crash(UpstreamId engine, long downMillis) {
        engines.crash(engine, downMillis);
    }

    /**
     * Freezes an engine: its connections stay open, but it makes no progress and answers no load or cache event query.
     *
     * @param engine the engine
     * @param millis the duration in milliseconds
     */
    public void freeze(UpstreamId engine, long millis) {
        engines.freeze(engine, millis);
    }

    /**
     * Sets a text that crashes the engine when a prompt contains it.
     *
     * @param text the text
     */
    public void setPoisonText(String text) {
        engines.setPoisonText(text);
    }

    /**
     * Sets whether engines that crash because of the poison text leave their connections open.
     *
     * @param silently true when nothing arrives on the connections any more, false when they are closed
     */
    public void setPoisonEndsSilently(boolean silently) {
        engines.setPoisonEndsSilently(silently);
    }

    /**
     * Returns the number of engine crashes that prompts with the poison text have caused.
     *
     * @return the number of crashes
     */
    public int poisonCrashes() {
        return engines.poisonCrashes();
    }

    /**
     * Returns the highest number of concurrent weight loads so far.
     *
     * @return the number of loads
     */
    public int maximumConcurrentLoads() {
        return engines.maximumConcurrentLoads();
    }

    /**
     * Returns when each attempt arrived at an engine.
     *
     * @param engine the engine
     * @return the times in milliseconds
     */
    public List<Long> attemptTimesMillis(UpstreamId engine) {
        return engines.startedAttempts().stream()
                .filter(attempt -> attempt.engine().equals(engine))
                .map(VirtualEngines.StartedAttempt::atMillis)
                .toList();
    }

    /**
     * Returns how many attempts have arrived at engines.
     *
     * @return the number of attempts
     */
    public int attemptCount() {
        return engines.startedAttempts().size();
    }

    /**
     * Returns how often calls with each idempotency key ran.
     *
     * @return the number of runs by "customer/key"
     */
    public Map<String, Integer> runsByKey() {
        return services.runsByKey();
    }

    /**
     * Returns how often each request ran at a service.
     *
     * @return the number of runs by request
     */
    public Map<RequestId, Integer> runsByRequest() {
        return services.runsByRequest();
    }

    /**
     * Returns the engines.
     *
     * @return the engines by id
     */
    public Map<UpstreamId, EngineModel> engines() {
        return engines.engines();
    }

    /**
     * Returns the failure domain of an engine.
     *
     * @param engine the engine
     * @return its domain
     */
    public FailureDomain domainOf(UpstreamId engine) {
        return engines.domainOf(engine);
    }

    /**
     * Returns the routers.
     *
     * @return the routers in the order they were added
     */
    public List<VirtualRouter> routers() {
        return List.copyOf(routers.values());
    }

    /**
     * Returns the records of all callers.
     *
     * @return the records in the order of their requests
     */
    public List<CallerRecord> callers() {
        return List.copyOf(callers.values());
    }

    /**
     * Returns a counter's sum over all routers and incarnations.
     *
     * @param name the counter's name
     * @return the sum
     */
    public long counter(String name) {
        return counters.getOrDefault(name, 0L);
    }

    /**
     * Returns the log of all routers.
     *
     * @return one line per log event
     */
    public List<String> logLines() {
        return logLines;
    }

    /**
     * Returns the injected faults, which the caller may change.
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
     * Returns the current virtual time.
     *
     * @return the time in milliseconds
     */
    public long now() {
        return time.now();
    }

    /**
     * Returns the seeded random number generator of this deployment.
     *
     * @return the generator
     */
    public SplittableRandom random() {
        return random;
    }

    /**
     * Returns whether a caller received its complete stream.
     *
     * @param caller the caller
     * @return true when the last answer is the explicit end of the stream
     */
    public static boolean isComplete(CallerRecord caller) {
        return caller.lastAnswer() instanceof CallerAnswer.End;
    }
}
