package org.fuchsiatrail.standins.drive;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiatrail.Input;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ServiceOutcome;

/** The plain services of a virtual deployment; they count the runs of each request and each idempotency key. */
final class VirtualServices {

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Faults faults;
    private final Map<String, Integer> runsByKey = new LinkedHashMap<>();
    private final Map<RequestId, Integer> runsByRequest = new LinkedHashMap<>();
    private int runCount;

    VirtualServices(VirtualTime time, SplittableRandom random, Faults faults) {
        this.time = time;
        this.random = random;
        this.faults = faults;
    }

    Map<String, Integer> runsByKey() {
        return runsByKey;
    }

    Map<RequestId, Integer> runsByRequest() {
        return runsByRequest;
    }

    void call(VirtualRouter router, Output.CallService call) {
        long incarnation = router.incarnation();
        if (withProbability(faults.serviceConnectionRefusalRate) || time.now() >= call.deadlineAtMillis()) {
            time.schedule(
                    1,
                    () -> router.deliver(
                            incarnation,
                            new Input.ServiceEnded(call.attempt(), new ServiceOutcome.NotSent("refused"))));
            return;
        }
        time.schedule(1, () -> {
            runCount++;
            runsByKey.merge(call.customer() + "/" + call.call().idempotencyKey(), 1, Integer::sum);
            runsByRequest.merge(call.request(), 1, Integer::sum);
            byte[] body = ("run " + runCount).getBytes(StandardCharsets.UTF_8);
            ServiceOutcome outcome = withProbability(faults.serviceResponseLossRate)
                    ? new ServiceOutcome.Unknown("connection lost")
                    : new ServiceOutcome.Answered(call.request(), 200, "text/plain", body);
            time.schedule(5, () -> router.deliver(incarnation, new Input.ServiceEnded(call.attempt(), outcome)));
        });
    }

    private boolean withProbability(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }
}
