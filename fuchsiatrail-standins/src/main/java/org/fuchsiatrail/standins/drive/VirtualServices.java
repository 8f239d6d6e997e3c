package org.fuchsiatrail.standins.drive;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiatrail.Input;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ServiceOutcome;

/** The plain services of a virtual deployment, which count how often each request and each key ran. */
final class VirtualServices {

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Faults faults;
    private final Map<String, Integer> runsByKey = new LinkedHashMap<>();
    private final Map<RequestId, Integer> runsByRequest = new LinkedHashMap<>();
    private int serial;

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
        long life = router.life();
        if (chance(faults.serviceConnectionsRefused) || time.now() >= call.deadlineAtMillis()) {
            time.after(
                    1,
                    () -> router.give(
                            life, new Input.ServiceEnded(call.attempt(), new ServiceOutcome.NotSent("refused"))));
            return;
        }
        time.after(1, () -> {
            serial++;
            runsByKey.merge(call.customer() + "/" + call.call().idempotencyKey(), 1, Integer::sum);
            runsByRequest.merge(call.request(), 1, Integer::sum);
            byte[] body = ("run " + serial).getBytes(StandardCharsets.UTF_8);
            ServiceOutcome outcome = chance(faults.serviceAnswersLost)
                    ? new ServiceOutcome.Unknown("connection lost")
                    : new ServiceOutcome.Answered(call.request(), 200, "text/plain", body);
            time.after(5, () -> router.give(life, new Input.ServiceEnded(call.attempt(), outcome)));
        });
    }

    private boolean chance(double part) {
        return part > 0 && random.nextDouble() < part;
    }
}
