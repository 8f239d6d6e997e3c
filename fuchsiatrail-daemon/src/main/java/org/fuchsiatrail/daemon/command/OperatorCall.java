package org.fuchsiatrail.daemon.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;

import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that asks a router one thing and prints the answer. */
abstract class OperatorCall implements Callable<Integer> {

    private static final int FAILED = 1;

    @Mixin
    private OperatorConnection connection;

    @Spec
    private CommandSpec spec;

    /** Makes the question. */
    abstract OperatorRequest request() throws IOException;

    /** Prints the answer for a person. */
    abstract void print(OperatorAnswer answer, PrintWriter out) throws IOException;

    @Override
    public final Integer call() throws InterruptedException {
        PrintWriter err = spec.commandLine().getErr();
        try {
            OperatorAnswer answer = connection.ask(request());
            return show(answer, err);
        } catch (IOException e) {
            err.println(e.getMessage());
            err.flush();
            return FAILED;
        }
    }

    private int show(OperatorAnswer answer, PrintWriter err) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        if (connection.wantsJson()) {
            out.println(connection.asJson(answer));
        } else if (answer instanceof OperatorAnswer.Refused refused) {
            err.println("Refused with code " + refused.code().number() + ": "
                    + refused.code().meaning());
            refused.details().forEach(detail -> err.println("- " + detail));
            err.println(refused.code().advice());
        } else {
            print(answer, out);
        }
        out.flush();
        err.flush();
        return answer instanceof OperatorAnswer.Refused ? FAILED : 0;
    }
}
