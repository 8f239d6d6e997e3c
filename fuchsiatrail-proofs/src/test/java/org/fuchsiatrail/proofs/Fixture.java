package org.fuchsiatrail.proofs;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.fuchsiatrail.ApiKeys;
import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EngineCall;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.RouterSettings;
import org.fuchsiatrail.ServiceCall;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.fuchsiatrail.standins.drive.Faults;
import org.fuchsiatrail.standins.drive.VirtualDeployment;
import org.fuchsiatrail.standins.drive.VirtualRouter;
import org.fuchsiatrail.standins.model.EngineModel;
import org.fuchsiatrail.standins.model.EngineTraits;

/** A deployment of three failure domains with two engines each, the size of the current users' deployments. */
final class Fixture {

    static final ModelVersion TUTOR_V1 = new ModelVersion("tutor", "v1");
    static final ModelVersion TUTOR_V2 = new ModelVersion("tutor", "v2");
    static final String ALPHA_KEY = "alpha.secret-of-alpha";
    static final String BETA_KEY = "beta.secret-of-beta";
    static final int DOMAINS = 3;
    static final int ENGINES = 6;

    final VirtualDeployment deployment;
    final Faults faults;
    private final int routersPerDomain;

    private Fixture(long seed, int routersPerDomain, Consumer<RouterSettings.Builder> customization) {
        this.deployment = new VirtualDeployment(seed, 1);
        this.faults = deployment.faults();
        this.routersPerDomain = routersPerDomain;
        for (int number = 1; number <= ENGINES; number++) {
            deployment.addEngine(domainOfEngine(number), traits(number));
        }
        for (int number = 1; number <= DOMAINS * routersPerDomain; number++) {
            RouterSettings.Builder settings =
                    RouterSettings.builder().seed(seed + number).secret("a secret for proofs");
            customization.accept(settings);
            deployment.addRouter("vm-" + number, "domain-" + (1 + (number - 1) % DOMAINS), settings);
        }
    }

    static Fixture started(long seed) {
        return started(seed, 1, settings -> {});
    }

    static Fixture started(long seed, int routersPerDomain, Consumer<RouterSettings.Builder> customization) {
        Fixture fixture = new Fixture(seed, routersPerDomain, customization);
        OperatorAnswer answer = fixture.deployment.planAndConfirm(fixture.router(1), intent(TUTOR_V1));
        if (!(answer instanceof OperatorAnswer.Confirmed)) {
            throw new IllegalStateException("The initial configuration was not confirmed: " + answer);
        }
        fixture.deployment.run(1_000);
        return fixture;
    }

    private static EngineTraits traits(int number) {
        return new EngineTraits(engineId(number), List.of(TUTOR_V1), 2_000, 8_000, 10, 64, 300, 3_000, number % 2 == 0);
    }

    static UpstreamId engineId(int number) {
        return new UpstreamId("engine-" + number);
    }

    private static String domainOfEngine(int number) {
        return "domain-" + (1 + (number - 1) % DOMAINS);
    }

    static Intent intent(ModelVersion... models) {
        return intent(List.of(), models);
    }

    static Intent intent(List<Integer> drainingEngines, ModelVersion... models) {
        List<Intent.Model> allowed = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (ModelVersion model : models) {
            allowed.add(new Intent.Model(model.name(), model.weights(), List.of()));
            names.add(model.toString());
        }
        List<Intent.Customer> customers = List.of(customer(ALPHA_KEY, 1, names), customer(BETA_KEY, 1, names));
        List<Intent.Upstream> upstreams = new ArrayList<>();
        for (int number = 1; number <= ENGINES; number++) {
            upstreams.add(new Intent.Upstream(
                    engineId(number).value(),
                    Intent.UpstreamKind.ENGINE,
                    domainOfEngine(number),
                    "10.0.0." + number + ":8000",
                    names,
                    number % 2 == 0,
                    drainingEngines.contains(number)));
        }
        for (int number = 1; number <= DOMAINS; number++) {
            upstreams.add(new Intent.Upstream(
                    "certificates-" + number,
                    Intent.UpstreamKind.SERVICE,
                    "domain-" + number,
                    "10.0.1." + number + ":8000",
                    List.of("certificates"),
                    false,
                    false));
        }
        Intent.Service service = new Intent.Service("certificates", List.of("POST /issue"));
        return new Intent(allowed, customers, upstreams, List.of(service), List.of());
    }

    static Intent.Customer customer(String key, int share, List<String> models) {
        String id = key.substring(0, key.indexOf('.'));
        return new Intent.Customer(id, ApiKeys.hash("0123456789abcdef", key), share, 0, models);
    }

    VirtualRouter router(int number) {
        return deployment.routers().get(number - 1);
    }

    int routerCount() {
        return DOMAINS * routersPerDomain;
    }

    static ChatCall chatCall(String prompt, int tokens) {
        return new ChatCall("tutor", "", "", prompt, tokens, 20_000, 0, "", "");
    }

    static ChatCall withResumeToken(ChatCall call, String resumeToken) {
        return new ChatCall(
                call.model(),
                call.adapter(),
                call.scope(),
                call.prompt(),
                call.maximumTokens(),
                call.deadlineMillis(),
                call.priority(),
                resumeToken,
                call.traceparent());
    }

    static ServiceCall issueCall(String idempotencyKey, long deadlineMillis) {
        return new ServiceCall(
                "certificates", "POST", "/issue", "text/plain", new byte[] {1}, idempotencyKey, deadlineMillis, "");
    }

    static String prompt(String subject, int repetitions) {
        return (subject + " has a lesson about the safe removal of old panels. ").repeat(repetitions);
    }

    /** Returns the text that a single engine without faults generates from a position on, to compare streams with. */
    static String referenceAnswer(ChatCall call, ModelVersion model, long firstPosition) {
        EngineCall referenceCall = new EngineCall(
                new RequestId("naive"),
                new CustomerId("naive"),
                model,
                call.adapter(),
                "",
                0,
                call.prompt(),
                0,
                call.maximumTokens(),
                0,
                "");
        StringBuilder text = new StringBuilder();
        for (long position = firstPosition; position < call.maximumTokens(); position++) {
            text.append(EngineModel.token(referenceCall, position));
        }
        return text.toString();
    }

    boolean allFinished(List<CallerRecord> callers) {
        return callers.stream().allMatch(caller -> caller.isFinished() || caller.connectionLost());
    }
}
