package org.fuchsiatrail.daemon.command;

import java.io.PrintWriter;

import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.UpstreamId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "drain",
        mixinStandardHelpOptions = true,
        description = "Stops new work to an upstream at once; its running work finishes.")
final class DrainCommand extends OperatorCall {

    @Parameters(paramLabel = "UPSTREAM", description = "The upstream's name.")
    private String upstream;

    @Override
    OperatorRequest request() {
        return new OperatorRequest.Drain(new UpstreamId(upstream));
    }

    @Override
    void print(OperatorAnswer answer, PrintWriter out) {
        out.println("Upstream " + upstream + " gets no new work from this router; its peers hear of it at once.");
        out.println("To keep it so after restarts, set 'draining: true' in the intent.");
    }
}
