package org.fuchsiatrail.daemon.command;

import java.io.PrintWriter;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Help.Ansi;

@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Shows each failure domain, router and engine, and who has which revision in force.")
final class StatusCommand extends OperatorCall {

    @Override
    OperatorRequest request() {
        return new OperatorRequest.Status();
    }

    @Override
    void print(OperatorAnswer answer, PrintWriter out) {
        OperatorAnswer.StatusReport report = (OperatorAnswer.StatusReport) answer;
        out.println("As router " + report.router() + " sees it: revision " + report.revision() + ", "
                + report.openRequests() + " open requests" + (report.stopping() ? ", stopping" : ""));
        Map<FailureDomain, StringBuilder> domains = new TreeMap<>();
        for (OperatorAnswer.RouterStatus router : report.routers()) {
            boolean lags = router.revision() < report.revision();
            String line = String.format(
                    "  router %-12s %s revision %d%s%n",
                    router.id(),
                    colored(router.state()),
                    router.revision(),
                    lags ? " " + Ansi.AUTO.string("@|yellow lags|@") : "");
            domains.computeIfAbsent(router.failureDomain(), key -> new StringBuilder())
                    .append(line);
        }
        for (OperatorAnswer.EngineStatus engine : report.engines()) {
            String line = String.format(
                    "  engine %-12s %s queue %d tokens, %d streams, %s%n",
                    engine.id(),
                    colored(engine.state()),
                    engine.queuedTokens(),
                    engine.runningStreams(),
                    engine.models());
            domains.computeIfAbsent(engine.failureDomain(), key -> new StringBuilder())
                    .append(line);
        }
        domains.forEach((domain, lines) -> out.print(domain + "\n" + lines));
    }

    private static String colored(String state) {
        String color =
                switch (state) {
                    case "alive", "serving" -> "green";
                    case "dead", "unreachable" -> "red";
                    default -> "yellow";
                };
        return Ansi.AUTO.string("@|" + color + " " + String.format("%-11s", state) + "|@");
    }
}
