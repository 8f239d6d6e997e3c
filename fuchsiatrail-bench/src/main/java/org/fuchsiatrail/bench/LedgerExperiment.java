package org.fuchsiatrail.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.HdrHistogram.Histogram;
import org.fuchsiatrail.ApiKeys;
import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.RouterSettings;
import org.fuchsiatrail.ServiceCall;
import org.fuchsiatrail.standins.drive.CallerRecord;
import org.fuchsiatrail.standins.drive.VirtualDeployment;

/**
 * Measures how many ledger claims share one store write, and the latency that a claim adds to a service call. The
 * stand-in store answers in 4 ms.
 */
final class LedgerExperiment {

    private static final int[] CALLS_PER_SECOND = {1, 10, 100, 500, 1_000};
    private static final int ROUTERS = 6;
    private static final int MEASURED_MILLIS = 10_000;

    /** The part of each response time that the stand-in service and the network path to it take. */
    private static final long SERVICE_MILLIS = 6;

    private static final String API_KEY = "customer.key";

    private final long seed;
    private final PrintStream out;

    LedgerExperiment(long seed, PrintStream out) {
        this.seed = seed;
        this.out = out;
    }

    void run() {
        out.printf("## Ledger, %d routers, seed %d%n%n", ROUTERS, seed);
        out.println("| claims/s | writes/s | claims a write | added p50 ms | added p99 ms | answered % |");
        out.println("|---|---|---|---|---|---|");
        for (int callsPerSecond : CALLS_PER_SECOND) {
            measure(callsPerSecond);
        }
        out.println();
    }

    private void measure(int callsPerSecond) {
        VirtualDeployment deployment = new VirtualDeployment(seed, 1);
        for (int number = 0; number < ROUTERS; number++) {
            deployment.addRouter(
                    "vm-" + number,
                    "domain-" + number % 3,
                    RouterSettings.builder().secret("bench"));
        }
        deployment.planAndConfirm(deployment.routers().get(0), intent());
        deployment.run(2_000);
        long writesBefore = deployment.counter("ledger.writes");
        List<CallerRecord> callers = new ArrayList<>();
        for (int millis = 0; millis < MEASURED_MILLIS; millis++) {
            int callsToSend =
                    (int) ((long) (millis + 1) * callsPerSecond / 1000 - (long) millis * callsPerSecond / 1000);
            for (int call = 0; call < callsToSend; call++) {
                callers.add(sendCall(deployment, callers.size()));
            }
            deployment.run(1);
        }
        long storeWrites = deployment.counter("ledger.writes") - writesBefore;
        deployment.run(5_000);
        print(callsPerSecond, storeWrites, callers);
    }

    private static CallerRecord sendCall(VirtualDeployment deployment, int number) {
        ServiceCall call = new ServiceCall(
                "certificates", "POST", "/issue", "text/plain", new byte[100], "key-" + number, 5_000, "");
        int router = deployment.random().nextInt(ROUTERS);
        return deployment.service(deployment.routers().get(router), API_KEY, call);
    }

    private void print(int callsPerSecond, long storeWrites, List<CallerRecord> callers) {
        Histogram addedMillis = new Histogram(60_000, 3);
        for (CallerRecord caller : callers) {
            if (caller.lastAnswer() instanceof CallerAnswer.Result) {
                addedMillis.recordValue(Math.max(0, caller.firstAnswerAfterMillis() - SERVICE_MILLIS));
            }
        }
        out.printf(
                Locale.ROOT,
                "| %d | %.1f | %.1f | %d | %d | %.1f |%n",
                callsPerSecond,
                storeWrites * 1000.0 / MEASURED_MILLIS,
                (double) callers.size() / storeWrites,
                addedMillis.getValueAtPercentile(50),
                addedMillis.getValueAtPercentile(99),
                100.0 * addedMillis.getTotalCount() / callers.size());
    }

    private static Intent intent() {
        Intent.Customer customer =
                new Intent.Customer("customer", ApiKeys.hash("0123456789abcdef", API_KEY), 1, 0, List.of());
        Intent.Upstream upstream = new Intent.Upstream(
                "certificates-1",
                Intent.UpstreamKind.SERVICE,
                "domain-0",
                "10.0.0.1:8100",
                List.of("certificates"),
                false,
                false);
        Intent.Service service = new Intent.Service("certificates", List.of("POST /issue"));
        return new Intent(List.of(), List.of(customer), List.of(upstream), List.of(service), List.of());
    }
}
