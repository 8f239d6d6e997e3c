package org.fuchsiatrail.daemon.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;

import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Base of the commands that send one request to a router and print its answer. */
abstract class OperatorCommand implements Callable<Integer> {

    private static final int EXIT_CODE_FAILED = 1;

    @Mixin
    private OperatorClient client;

    @Spec
    private CommandSpec spec;

    /** Creates the request to send. */
    abstract OperatorRequest request() throws IOException;

    /** Prints the answer in human-readable form; JSON output and refusals are printed by this class. */
    abstract void printAnswer(OperatorAnswer answer, PrintWriter out) throws IOException;

    @Override
    public final Integer call() throws InterruptedException {
        PrintWriter err = spec.commandLine().getErr();
        try {
            OperatorAnswer answer = client.send(request());
            return printResult(answer, err);
        } catch (IOException e) {
            err.println(e.getMessage());
            err.flush();
            return EXIT_CODE_FAILED;
        }
    }

    private int printResult(OperatorAnswer answer, PrintWriter err) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        if (client.printsJson()) {
            out.println(client.asJson(answer));
        } else if (answer instanceof OperatorAnswer.Refused refused) {
            err.println("Refused with code " + refused.code().number() + ": "
                    + refused.code().meaning());
            refused.details().forEach(detail -> err.println("- " + detail));
            err.println(refused.code().advice());
        } else {
            printAnswer(answer, out);
        }
        out.flush();
        err.flush();
        return answer instanceof OperatorAnswer.Refused ? EXIT_CODE_FAILED : 0;
    }
}
