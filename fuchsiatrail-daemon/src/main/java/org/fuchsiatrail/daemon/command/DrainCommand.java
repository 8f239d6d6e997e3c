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
        description = "Stops sending new requests to an upstream immediately; running requests finish.")
final class DrainCommand extends OperatorCommand {

    @Parameters(paramLabel = "UPSTREAM", description = "The upstream's name.")
    private String upstream;

    @Override
    OperatorRequest request() {
        return new OperatorRequest.Drain(new UpstreamId(upstream));
    }

    @Override
    void printAnswer(OperatorAnswer answer, PrintWriter out) {
        out.println(
                "Upstream " + upstream + " gets no new requests from this router; its peers are informed immediately.");
        out.println("To keep it draining after restarts, set 'draining: true' in the intent.");
    }
}
