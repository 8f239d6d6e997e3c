package org.fuchsiatrail.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.ApiKeys;
import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EngineCall;
import org.fuchsiatrail.EngineEvent;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.PrefixChain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.RouterSettings;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.fuchsiatrail.standins.drive.VirtualDeployment;
import org.fuchsiatrail.standins.drive.VirtualRouter;
import org.fuchsiatrail.standins.model.EngineModel;
import org.fuchsiatrail.standins.model.EngineTraits;

/**
 * One run of the router or of a baseline under one scenario, on virtual time. Runs of a baseline have no routers: the
 * baseline selects an engine for each request, which goes directly to the engine model.
 */
final class SimulatedRun {

    static final int WARM_UP_MILLIS = 10_000;
    private static final int RETRY_CHECK_INTERVAL_MILLIS = 50;
    private static final long FINAL_WAIT_MILLIS = 15_000;
    private static final long ENGINE_DOWN_MILLIS = 2_000;
    private static final long DOMAIN_CUT_DURATION_MILLIS = 5_000;
    private static final ModelVersion MODEL = new ModelVersion("tutor", "v1");

    private final DeploymentProfile profile;
    private final Scenario scenario;
    private final VirtualDeployment deployment;
    private final Workload workload;
    private final RunMetrics metrics = new RunMetrics();
    private final List<CallerRecord> callers = new ArrayList<>();
    private final Map<RequestId, DirectRequest> directRequests = new LinkedHashMap<>();
    private final Baseline baseline;
    private final Map<CallerRecord, Workload.Request> requestsByCaller = new HashMap<>();

    /** The time of each refused caller's retry; 0 when the retry has been sent. */
    private final Map<CallerRecord, Long> retryAtMillisByCaller = new LinkedHashMap<>();

    private final List<CallerRecord> retries = new ArrayList<>();
    private boolean callersRetry;
    private final int measuredMillis;
    private long promptTokensBefore;
    private long computedTokensBefore;
    private int lastRequestNumber;

    /** A crashed engine that the next direct request must avoid, or null. */
    private UpstreamId excludedEngine;

    private SimulatedRun(
            DeploymentProfile profile, Scenario scenario, Baseline baseline, long seed, int measuredMillis) {
        this.profile = profile;
        this.scenario = scenario;
        this.baseline = baseline;
        this.measuredMillis = measuredMillis;
        this.deployment = new VirtualDeployment(seed, profile.domainDistanceMillis());
        this.workload = new Workload(profile, seed);
        for (int number = 0; number < DeploymentProfile.ENGINES; number++) {
            EngineTraits traits = new EngineTraits(
                    new UpstreamId("engine-" + number),
                    List.of(MODEL),
                    DeploymentProfile.CACHE_CAPACITY_CHECKPOINTS,
                    DeploymentProfile.PREFILL_TOKENS_PER_SECOND,
                    10,
                    64,
                    300,
                    2_000,
                    true);
            deployment.addEngine("domain-" + number % DeploymentProfile.FAILURE_DOMAINS, traits);
        }
    }

    /** A request of a baseline's run, sent directly to an engine. */
    private static final class DirectRequest {
        private final Workload.Request request;
        private final long sentAtMillis;
        private UpstreamId engine;
        private boolean firstTokenReceived;

        DirectRequest(Workload.Request request, long sentAtMillis) {
            this.request = request;
            this.sentAtMillis = sentAtMillis;
        }
    }

    /** Runs the router with default settings. */
    static RunMetrics runRouter(
            DeploymentProfile profile, Scenario scenario, double requestsPerSecond, long seed, int measuredMillis) {
        return runRouter(profile, scenario, requestsPerSecond, seed, measuredMillis, RouterSettings.builder());
    }

    /** Runs the router with the given settings; seed, secret and recompute weight are set by the run. */
    static RunMetrics runRouter(
            DeploymentProfile profile,
            Scenario scenario,
            double requestsPerSecond,
            long seed,
            int measuredMillis,
            RouterSettings.Builder settings) {
        return new SimulatedRun(profile, scenario, null, seed, measuredMillis)
                .startRouters(settings)
                .execute(requestsPerSecond);
    }

    /** Runs the router with callers that retry a refused request once, at the retry time they were given. */
    static RunMetrics runRouterWithRetryingCallers(
            DeploymentProfile profile, double requestsPerSecond, long seed, int measuredMillis) {
        SimulatedRun run = new SimulatedRun(profile, Scenario.CALM, null, seed, measuredMillis);
        run.callersRetry = true;
        return run.startRouters(RouterSettings.builder()).execute(requestsPerSecond);
    }

    private SimulatedRun startRouters(RouterSettings.Builder settings) {
        for (int number = 0; number < DeploymentProfile.ROUTERS; number++) {
            deployment.addRouter(
                    "vm-" + number,
                    "domain-" + number % DeploymentProfile.FAILURE_DOMAINS,
                    settings.seed(number).secret("bench").recomputeWeight(profile.recomputeWeight()));
        }
        deployment.planAndConfirm(deployment.routers().get(0), intent());
        deployment.run(1_000);
        return this;
    }

    /** Runs a baseline that the router is compared with. */
    static RunMetrics runBaseline(
            DeploymentProfile profile,
            Scenario scenario,
            Baseline baseline,
            double requestsPerSecond,
            long seed,
            int measuredMillis) {
        return new SimulatedRun(profile, scenario, baseline, seed, measuredMillis).execute(requestsPerSecond);
    }

    private Intent intent() {
        List<Intent.Customer> customers = new ArrayList<>();
        List<String> customerNames = new ArrayList<>();
        for (int number = 0; number < profile.customers(); number++) {
            String id = "customer-" + number;
            customerNames.add(id);
            String hash = ApiKeys.hash("0123456789abcdef", id + ".key");
            customers.add(new Intent.Customer(id, hash, 1, 0, List.of(MODEL.toString())));
        }
        List<Intent.Upstream> upstreams = new ArrayList<>();
        for (int number = 0; number < DeploymentProfile.ENGINES; number++) {
            upstreams.add(new Intent.Upstream(
                    "engine-" + number,
                    Intent.UpstreamKind.ENGINE,
                    "domain-" + number % DeploymentProfile.FAILURE_DOMAINS,
                    "10.0.0." + number + ":8000",
                    List.of(MODEL.toString()),
                    true,
                    false));
        }
        Intent.Scope scope = new Intent.Scope("shared", customerNames);
        return new Intent(
                List.of(new Intent.Model(MODEL.name(), MODEL.weights(), List.of())),
                customers,
                upstreams,
                List.of(),
                List.of(scope));
    }

    private RunMetrics execute(double requestsPerSecond) {
        double nextRequestAtMillis = 0;
        int totalMillis = WARM_UP_MILLIS + measuredMillis;
        for (int elapsedMillis = 0; elapsedMillis < totalMillis; elapsedMillis++) {
            if (elapsedMillis == WARM_UP_MILLIS) {
                promptTokensBefore = sumTokens(true);
                computedTokensBefore = sumTokens(false);
            }
            injectFault(elapsedMillis - WARM_UP_MILLIS);
            while (nextRequestAtMillis <= elapsedMillis) {
                send(elapsedMillis >= WARM_UP_MILLIS);
                nextRequestAtMillis += workload.nextInterarrivalMillis(requestsPerSecond);
            }
            deployment.run(1);
            if (elapsedMillis % RETRY_CHECK_INTERVAL_MILLIS == 0) {
                retryRefusedCallers();
            }
        }
        metrics.recordTokens(
                sumTokens(true) - promptTokensBefore, sumTokens(false) - computedTokensBefore, measuredMillis / 1000.0);
        deployment.run(FINAL_WAIT_MILLIS);
        collectCallers();
        return metrics;
    }

    private long sumTokens(boolean promptTokens) {
        return deployment.engines().values().stream()
                .mapToLong(engine -> promptTokens ? engine.promptTokens() : engine.computedTokens())
                .sum();
    }

    private void injectFault(int elapsedMeasuredMillis) {
        int thirdMillis = measuredMillis / 3;
        switch (scenario) {
            case ENGINE_CRASH -> {
                if (elapsedMeasuredMillis == thirdMillis || elapsedMeasuredMillis == 2 * thirdMillis) {
                    crashEngine(new UpstreamId("engine-" + (elapsedMeasuredMillis == thirdMillis ? 1 : 4)));
                }
            }
            case EVENT_LOSS -> deployment.faults().cacheEventLossRate = 0.9;
            case ROUTER_HERD_RESTART -> {
                if (elapsedMeasuredMillis == thirdMillis) {
                    deployment.routers().forEach(router -> {
                        deployment.kill(router);
                        deployment.restart(router);
                    });
                }
            }
            case HOT_SHIFT -> {
                if (elapsedMeasuredMillis == thirdMillis) {
                    workload.shiftHotPrefixes();
                }
            }
            case STORE_OUTAGE -> deployment.faults().storeDown = elapsedMeasuredMillis >= thirdMillis;
            case DOMAIN_CUT -> injectDomainCut(elapsedMeasuredMillis, thirdMillis);
            default -> {}
        }
    }

    private void injectDomainCut(int elapsedMeasuredMillis, int thirdMillis) {
        FailureDomain domain = new FailureDomain("domain-1");
        if (elapsedMeasuredMillis == thirdMillis) {
            deployment.faults().isolatedDomains.add(domain);
        } else if (elapsedMeasuredMillis == thirdMillis + DOMAIN_CUT_DURATION_MILLIS) {
            deployment.faults().clear();
        }
    }

    private void crashEngine(UpstreamId engine) {
        deployment.crash(engine, ENGINE_DOWN_MILLIS);
        if (baseline == null) {
            return;
        }
        excludedEngine = engine;
        for (Map.Entry<RequestId, DirectRequest> entry : List.copyOf(directRequests.entrySet())) {
            if (entry.getValue().engine.equals(engine) && !entry.getValue().firstTokenReceived) {
                startDirectRequest(entry.getKey(), entry.getValue());
            }
        }
    }

    private void send(boolean measured) {
        Workload.Request request = workload.nextRequest();
        if (baseline != null) {
            if (measured) {
                metrics.recordRequest(request.customer());
            }
            lastRequestNumber++;
            RequestId id = new RequestId((measured ? "measured-" : "warm-") + lastRequestNumber);
            DirectRequest directRequest = new DirectRequest(request, deployment.now());
            directRequests.put(id, directRequest);
            startDirectRequest(id, directRequest);
            return;
        }
        List<VirtualRouter> readyRouters =
                deployment.routers().stream().filter(VirtualRouter::isReady).toList();
        List<VirtualRouter> candidates = readyRouters.isEmpty() ? deployment.routers() : readyRouters;
        VirtualRouter router = candidates.get(deployment.random().nextInt(candidates.size()));
        CallerRecord caller = deployment.chat(router, request.customer() + ".key", request.call());
        if (measured) {
            metrics.recordRequest(request.customer());
            callers.add(caller);
            requestsByCaller.put(caller, request);
        }
    }

    /** Sends the due retries of refused callers that were given a retry time, once each, to random routers. */
    private void retryRefusedCallers() {
        if (!callersRetry) {
            return;
        }
        for (CallerRecord caller : callers) {
            CallerAnswer.Refusal refusal = caller.refusal();
            boolean retryPending =
                    refusal != null && refusal.retryAfterMillis() > 0 && !retryAtMillisByCaller.containsKey(caller);
            if (retryPending) {
                long retryAtMillis =
                        caller.sentAtMillis() + caller.lastAnswerAfterMillis() + refusal.retryAfterMillis();
                retryAtMillisByCaller.put(caller, retryAtMillis);
            }
        }
        retryAtMillisByCaller.replaceAll((caller, retryAtMillis) ->
                retryAtMillis > 0 && retryAtMillis <= deployment.now() ? sendRetry(caller) : retryAtMillis);
    }

    private long sendRetry(CallerRecord caller) {
        Workload.Request request = requestsByCaller.get(caller);
        VirtualRouter router = deployment
                .routers()
                .get(deployment.random().nextInt(deployment.routers().size()));
        retries.add(deployment.chat(router, request.customer() + ".key", request.call()));
        return 0;
    }

    private void startDirectRequest(RequestId id, DirectRequest directRequest) {
        String salt = Baseline.salt(directRequest.request.customer(), directRequest.request.call());
        PrefixChain chain = PrefixChain.of(salt, directRequest.request.call().prompt());
        List<EngineModel> candidates = deployment.engines().values().stream()
                .filter(engine -> !engine.traits().id().equals(excludedEngine))
                .toList();
        excludedEngine = null;
        directRequest.engine = baseline.choose(candidates, chain, deployment.now());
        EngineCall call = new EngineCall(
                id,
                new CustomerId(directRequest.request.customer()),
                MODEL,
                "",
                salt,
                0,
                directRequest.request.call().prompt(),
                0,
                profile.answerTokens(),
                0,
                "");
        deployment
                .engines()
                .get(directRequest.engine)
                .start(deployment.now(), call, event -> receiveDirectEvent(id, directRequest, event));
    }

    private void receiveDirectEvent(RequestId id, DirectRequest directRequest, EngineEvent event) {
        boolean measured = id.value().startsWith("measured");
        switch (event) {
            case EngineEvent.Token token -> {
                if (!directRequest.firstTokenReceived && measured) {
                    metrics.recordServed(
                            directRequest.request.customer(), deployment.now() - directRequest.sentAtMillis + 2);
                }
                directRequest.firstTokenReceived = true;
            }
            case EngineEvent.Refused refused -> {
                directRequests.remove(id);
                if (measured) {
                    metrics.recordRefusal();
                }
            }
            case EngineEvent.Ended ended -> directRequests.remove(id);
            default -> {}
        }
    }

    private void collectCallers() {
        for (CallerRecord caller : retries) {
            boolean served = !caller.answers().isEmpty() && caller.answers().get(0) instanceof CallerAnswer.Token;
            metrics.recordRetry(served);
            if (served) {
                metrics.recordServed(caller.customer().value(), caller.firstAnswerAfterMillis() + 1);
            }
        }
        for (CallerRecord caller : callers) {
            boolean served = !caller.answers().isEmpty() && caller.answers().get(0) instanceof CallerAnswer.Token;
            if (served) {
                metrics.recordServed(caller.customer().value(), caller.firstAnswerAfterMillis() + 1);
            } else {
                metrics.recordRefusal();
            }
        }
    }
}
