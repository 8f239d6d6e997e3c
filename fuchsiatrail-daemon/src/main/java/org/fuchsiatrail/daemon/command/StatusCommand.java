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
        description = "Shows the failure domains, routers and engines, and the revision in force on each router.")
final class StatusCommand extends OperatorCommand {

    @Override
    OperatorRequest request() {
        return new OperatorRequest.Status();
    }

    @Override
    void printAnswer(OperatorAnswer answer, PrintWriter out) {
        OperatorAnswer.StatusReport report = (OperatorAnswer.StatusReport) answer;
        out.println("Reported by router " + report.router() + ": revision " + report.revision() + ", "
                + report.openRequests() + " open requests" + (report.stopping() ? ", stopping" : ""));
        Map<FailureDomain, StringBuilder> domains = new TreeMap<>();
        for (OperatorAnswer.RouterStatus router : report.routers()) {
            boolean lagging = router.revision() < report.revision();
            String line = String.format(
                    "  router %-12s %s revision %d%s%n",
                    router.id(),
                    colored(router.state()),
                    router.revision(),
                    lagging ? " " + Ansi.AUTO.string("@|yellow lags|@") : "");
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
