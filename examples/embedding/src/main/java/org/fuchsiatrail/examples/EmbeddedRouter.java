package org.fuchsiatrail.examples;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.ApiKeys;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Fuchsiatrail;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.RouterCore;
import org.fuchsiatrail.RouterSettings;
import org.fuchsiatrail.ServiceCall;
import org.fuchsiatrail.ServiceOutcome;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;

/**
 * Embeds a router core in a program. A map replaces the platform's store and holds the configuration and the ledger.
 *
 * <p>The example brings an intent into force and sends the same certificate call twice. The service runs once; the
 * second call receives the answer recorded in the ledger.
 */
public final class EmbeddedRouter {

    private static final String API_KEY = "academy.example-key";

    private final Map<String, StoreResult.Found> store = new HashMap<>();
    private final RouterCore router;
    private final List<Input> inputs = new ArrayList<>();
    private long nowMillis = 1;
    private OperatorAnswer.Planned plan;
    private int serviceRuns;

    private EmbeddedRouter() {
        RouterSettings settings = RouterSettings.builder()
                .self(new EntryVm(new EntryVmId("vm-1"), new FailureDomain("home"), "127.0.0.1:7000", false))
                .secret("an example secret")
                .build();
        router = Fuchsiatrail.router(settings);
    }

    /**
     * Runs the example.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) {
        EmbeddedRouter example = new EmbeddedRouter();
        example.planAndConfirm();
        example.sendCall("first");
        example.sendCall("second");
        System.out.println("The service ran " + example.serviceRuns + " time(s).");
    }

    private void planAndConfirm() {
        Intent intent = new Intent(
                List.of(),
                List.of(new Intent.Customer("academy", ApiKeys.hash("0011223344556677", API_KEY), 1, 0, List.of())),
                List.of(new Intent.Upstream(
                        "certificates-1",
                        Intent.UpstreamKind.SERVICE,
                        "home",
                        "127.0.0.1:8100",
                        List.of("certificates"),
                        false,
                        false)),
                List.of(new Intent.Service("certificates", List.of("POST /issue"))),
                List.of());
        inputs.add(new Input.OperatorAsked(1, new OperatorRequest.Plan(intent)));
        runTicks();
        inputs.add(new Input.OperatorAsked(2, new OperatorRequest.Confirm(plan.planId(), intent)));
        runTicks();
    }

    private void sendCall(String request) {
        ServiceCall call =
                new ServiceCall("certificates", "POST", "/issue", "text/plain", new byte[0], "trainee-77", 5_000, "");
        inputs.add(new Input.ServiceArrived(new RequestId(request), API_KEY, call));
        runTicks();
    }

    private void runTicks() {
        for (int tick = 0; tick < 100; tick++) {
            List<Input> batch = List.copyOf(inputs);
            inputs.clear();
            nowMillis += RouterCore.MAXIMUM_TICK_INTERVAL_MILLIS;
            router.tick(nowMillis, batch).forEach(this::execute);
        }
    }

    private void execute(Output output) {
        switch (output) {
            case Output.CallStore call -> answerStore(call);
            case Output.CallService call -> {
                serviceRuns++;
                byte[] body = "issued".getBytes(StandardCharsets.UTF_8);
                inputs.add(new Input.ServiceEnded(
                        call.attempt(), new ServiceOutcome.Answered(call.request(), 200, "text/plain", body)));
            }
            case Output.AnswerOperator answer -> {
                System.out.println("operator: " + answer.answer());
                if (answer.answer() instanceof OperatorAnswer.Planned planned) {
                    plan = planned;
                }
            }
            case Output.AnswerCaller answer -> System.out.println(answer.request() + ": " + answer.answer());
            default -> {}
        }
    }

    private void answerStore(Output.CallStore call) {
        StoreResult result =
                switch (call.request()) {
                    case StoreRequest.Read read -> found(read.key());
                    case StoreRequest.Watch watch -> found(watch.key());
                    case StoreRequest.CompareAndSwap swap -> swap(swap);
                    default -> new StoreResult.Unavailable("the example store does not support this request");
                };
        inputs.add(new Input.StoreAnswered(call.call(), result));
    }

    private StoreResult found(String key) {
        StoreResult.Found value = store.get(key);
        return value == null ? new StoreResult.Missing() : value;
    }

    private StoreResult swap(StoreRequest.CompareAndSwap swap) {
        StoreResult.Found current = store.get(swap.key());
        long version = current == null ? 0 : current.version();
        if (version != swap.expectedVersion()) {
            return new StoreResult.Conflict();
        }
        store.put(swap.key(), new StoreResult.Found(version + 1, swap.value()));
        return new StoreResult.Swapped(version + 1);
    }
}
