package org.fuchsiatrail.daemon.command;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import org.fuchsiatrail.ResultCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

@Command(name = "result-codes", mixinStandardHelpOptions = true, description = "Prints every result code.")
final class ResultCodesCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    /** Returns the row of a result code in docs/RESULT-CODES.md. */
    static String documentationRow(ResultCode code) {
        return "| " + code.number() + " | " + code.name() + " | " + code.httpStatus() + " | "
                + (code.mayHaveRun() ? "perhaps" : "no") + " | " + code.meaning() + " | " + code.advice() + " |";
    }

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        out.println("| code | name | HTTP | ran? | meaning | what to do |");
        out.println("|---|---|---|---|---|---|");
        for (ResultCode code : ResultCode.values()) {
            out.println(documentationRow(code));
        }
        out.flush();
        return 0;
    }
}
