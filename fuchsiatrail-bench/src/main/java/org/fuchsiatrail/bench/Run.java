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

/** One run of one policy under one scenario, on virtual time. */
final class Run {

    static final int WARM_UP_MILLIS = 10_000;
    private static final int COME_BACK_STEP_MILLIS = 50;
    private static final long DRAIN_MILLIS = 15_000;
    private static final long CRASH_MILLIS = 2_000;
    private static final long CUT_MILLIS = 5_000;
    private static final ModelVersion MODEL = new ModelVersion("tutor", "v1");

    private final Deployment shape;
    private final Scenario scenario;
    private final VirtualDeployment deployment;
    private final Workload workload;
    private final Outcome outcome = new Outcome();
    private final List<CallerRecord> callers = new ArrayList<>();
    private final Map<RequestId, Direct> direct = new LinkedHashMap<>();
    private final Policy policy;
    private final Map<CallerRecord, Workload.Request> requests = new HashMap<>();
    private final Map<CallerRecord, Long> returns = new LinkedHashMap<>();
    private final List<CallerRecord> again = new ArrayList<>();
    private boolean comingBack;
    private final int measuredMillis;
    private long promptBefore;
    private long computedBefore;
    private int serial;
    private UpstreamId down;

    private Run(Deployment shape, Scenario scenario, Policy policy, long seed, int measuredMillis) {
        this.shape = shape;
        this.scenario = scenario;
        this.policy = policy;
        this.measuredMillis = measuredMillis;
        this.deployment = new VirtualDeployment(seed, shape.domainDistanceMillis());
        this.workload = new Workload(shape, seed);
        for (int number = 0; number < Deployment.ENGINES; number++) {
            EngineTraits traits = new EngineTraits(
                    new UpstreamId("engine-" + number),
                    List.of(MODEL),
                    Deployment.CACHE_CHECKPOINTS,
                    Deployment.PREFILL_TOKENS_PER_SECOND,
                    10,
                    64,
                    300,
                    2_000,
                    true);
            deployment.addEngine("domain-" + number % Deployment.DOMAINS, traits);
        }
    }

    private static final class Direct {
        private final Workload.Request request;
        private final long sentMillis;
        private UpstreamId engine;
        private boolean begun;

        Direct(Workload.Request request, long sentMillis) {
            this.request = request;
            this.sentMillis = sentMillis;
        }
    }

    /** Runs the router's own policy. */
    static Outcome ours(Deployment shape, Scenario scenario, double rate, long seed, int measuredMillis) {
        return ours(shape, scenario, rate, seed, measuredMillis, RouterSettings.builder());
    }

    /** Runs the router's own policy with settings of a measurement. */
    static Outcome ours(
            Deployment shape,
            Scenario scenario,
            double rate,
            long seed,
            int measuredMillis,
            RouterSettings.Builder settings) {
        return new Run(shape, scenario, null, seed, measuredMillis)
                .startRouters(settings)
                .execute(rate);
    }

    /** Runs the router's own policy with callers that come back when they are told to. */
    static Outcome oursComingBack(Deployment shape, double rate, long seed, int measuredMillis) {
        Run run = new Run(shape, Scenario.CALM, null, seed, measuredMillis);
        run.comingBack = true;
        return run.startRouters(RouterSettings.builder()).execute(rate);
    }

    private Run startRouters(RouterSettings.Builder settings) {
        for (int number = 0; number < Deployment.ROUTERS; number++) {
            deployment.addRouter(
                    "vm-" + number,
                    "domain-" + number % Deployment.DOMAINS,
                    settings.seed(number).secret("bench").recomputeWeight(shape.recomputeWeight()));
        }
        deployment.putInForce(deployment.routers().get(0), intent());
        deployment.run(1_000);
        return this;
    }

    /** Runs a policy that the router's is compared with. */
    static Outcome baseline(
            Deployment shape, Scenario scenario, Policy policy, double rate, long seed, int measuredMillis) {
        return new Run(shape, scenario, policy, seed, measuredMillis).execute(rate);
    }

    private Intent intent() {
        List<Intent.Customer> customers = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (int number = 0; number < shape.customers(); number++) {
            String id = "customer-" + number;
            names.add(id);
            String hash = ApiKeys.hash("0123456789abcdef", id + ".key");
            customers.add(new Intent.Customer(id, hash, 1, 0, List.of(MODEL.toString())));
        }
        List<Intent.Upstream> upstreams = new ArrayList<>();
        for (int number = 0; number < Deployment.ENGINES; number++) {
            upstreams.add(new Intent.Upstream(
                    "engine-" + number,
                    Intent.UpstreamKind.ENGINE,
                    "domain-" + number % Deployment.DOMAINS,
                    "10.0.0." + number + ":8000",
                    List.of(MODEL.toString()),
                    true,
                    false));
        }
        Intent.Scope scope = new Intent.Scope("shared", names);
        return new Intent(
                List.of(new Intent.Model(MODEL.name(), MODEL.weights(), List.of())),
                customers,
                upstreams,
                List.of(),
                List.of(scope));
    }

    private Outcome execute(double rate) {
        double nextAt = 0;
        int whole = WARM_UP_MILLIS + measuredMillis;
        for (int elapsed = 0; elapsed < whole; elapsed++) {
            if (elapsed == WARM_UP_MILLIS) {
                promptBefore = sum(true);
                computedBefore = sum(false);
            }
            fault(elapsed - WARM_UP_MILLIS);
            while (nextAt <= elapsed) {
                send(elapsed >= WARM_UP_MILLIS);
                nextAt += workload.gapMillis(rate);
            }
            deployment.run(1);
            if (elapsed % COME_BACK_STEP_MILLIS == 0) {
                comeBack();
            }
        }
        outcome.tokens(sum(true) - promptBefore, sum(false) - computedBefore, measuredMillis / 1000.0);
        deployment.run(DRAIN_MILLIS);
        collectCallers();
        return outcome;
    }

    private long sum(boolean prompt) {
        return deployment.engines().values().stream()
                .mapToLong(engine -> prompt ? engine.promptTokens() : engine.computedTokens())
                .sum();
    }

    private void fault(int measured) {
        int third = measuredMillis / 3;
        switch (scenario) {
            case ENGINE_CRASH -> {
                if (measured == third || measured == 2 * third) {
                    crash(new UpstreamId("engine-" + (measured == third ? 1 : 4)));
                }
            }
            case EVENT_LOSS -> deployment.faults().cacheEventsLost = 0.9;
            case ROUTER_HERD_RESTART -> {
                if (measured == third) {
                    deployment.routers().forEach(router -> {
                        deployment.kill(router);
                        deployment.restart(router);
                    });
                }
            }
            case HOT_SHIFT -> {
                if (measured == third) {
                    workload.shiftHotPrefixes();
                }
            }
            case STORE_OUTAGE -> deployment.faults().storeDown = measured >= third;
            case DOMAIN_CUT -> cut(measured, third);
            default -> {}
        }
    }

    private void cut(int measured, int third) {
        FailureDomain domain = new FailureDomain("domain-1");
        if (measured == third) {
            deployment.faults().cutFromOthers.add(domain);
        } else if (measured == third + CUT_MILLIS) {
            deployment.faults().heal();
        }
    }

    private void crash(UpstreamId engine) {
        deployment.crash(engine, CRASH_MILLIS);
        if (policy == null) {
            return;
        }
        down = engine;
        for (Map.Entry<RequestId, Direct> entry : List.copyOf(direct.entrySet())) {
            if (entry.getValue().engine.equals(engine) && !entry.getValue().begun) {
                startDirect(entry.getKey(), entry.getValue());
            }
        }
    }

    private void send(boolean measured) {
        Workload.Request request = workload.next();
        if (policy != null) {
            if (measured) {
                outcome.asked(request.customer());
            }
            serial++;
            RequestId id = new RequestId((measured ? "measured-" : "warm-") + serial);
            Direct sent = new Direct(request, deployment.now());
            direct.put(id, sent);
            startDirect(id, sent);
            return;
        }
        List<VirtualRouter> ready =
                deployment.routers().stream().filter(VirtualRouter::isReady).toList();
        List<VirtualRouter> choices = ready.isEmpty() ? deployment.routers() : ready;
        VirtualRouter router = choices.get(deployment.random().nextInt(choices.size()));
        CallerRecord caller = deployment.chat(router, request.customer() + ".key", request.call());
        if (measured) {
            outcome.asked(request.customer());
            callers.add(caller);
            requests.put(caller, request);
        }
    }

    /** Has callers that were told when to come back do so, once each, at a router chosen by chance. */
    private void comeBack() {
        if (!comingBack) {
            return;
        }
        for (CallerRecord caller : callers) {
            CallerAnswer.Refusal refusal = caller.refusal();
            boolean told = refusal != null && refusal.retryAfterMillis() > 0 && !returns.containsKey(caller);
            if (told) {
                long at = caller.sentMillis() + caller.lastAnswerAfterMillis() + refusal.retryAfterMillis();
                returns.put(caller, at);
            }
        }
        returns.replaceAll((caller, at) -> at > 0 && at <= deployment.now() ? sendAgain(caller) : at);
    }

    private long sendAgain(CallerRecord caller) {
        Workload.Request request = requests.get(caller);
        VirtualRouter router = deployment
                .routers()
                .get(deployment.random().nextInt(deployment.routers().size()));
        again.add(deployment.chat(router, request.customer() + ".key", request.call()));
        return 0;
    }

    private void startDirect(RequestId id, Direct sent) {
        String salt = Policy.salt(sent.request.customer(), sent.request.call());
        PrefixChain chain = PrefixChain.of(salt, sent.request.call().prompt());
        List<EngineModel> usable = deployment.engines().values().stream()
                .filter(engine -> !engine.traits().id().equals(down))
                .toList();
        down = null;
        sent.engine = policy.choose(usable, chain, deployment.now());
        EngineCall call = new EngineCall(
                id,
                new CustomerId(sent.request.customer()),
                MODEL,
                "",
                salt,
                0,
                sent.request.call().prompt(),
                0,
                shape.answerTokens(),
                0,
                "");
        deployment.engines().get(sent.engine).start(deployment.now(), call, event -> receive(id, sent, event));
    }

    private void receive(RequestId id, Direct sent, EngineEvent event) {
        boolean measured = id.value().startsWith("measured");
        switch (event) {
            case EngineEvent.Token token -> {
                if (!sent.begun && measured) {
                    outcome.served(sent.request.customer(), deployment.now() - sent.sentMillis + 2);
                }
                sent.begun = true;
            }
            case EngineEvent.Refused refused -> {
                direct.remove(id);
                if (measured) {
                    outcome.refused();
                }
            }
            case EngineEvent.Ended ended -> direct.remove(id);
            default -> {}
        }
    }

    private void collectCallers() {
        for (CallerRecord caller : again) {
            boolean served = !caller.answers().isEmpty() && caller.answers().get(0) instanceof CallerAnswer.Token;
            outcome.cameBack(served);
            if (served) {
                outcome.served(caller.customer().value(), caller.firstAnswerAfterMillis() + 1);
            }
        }
        for (CallerRecord caller : callers) {
            boolean begun = !caller.answers().isEmpty() && caller.answers().get(0) instanceof CallerAnswer.Token;
            if (begun) {
                outcome.served(caller.customer().value(), caller.firstAnswerAfterMillis() + 1);
            } else {
                outcome.refused();
            }
        }
    }
}
