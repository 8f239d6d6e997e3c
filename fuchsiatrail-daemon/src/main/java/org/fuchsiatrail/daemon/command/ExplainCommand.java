package org.fuchsiatrail.daemon.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Shows where a request would be placed, and why.")
final class ExplainCommand extends OperatorCommand {

    private static final int MAXIMUM_OUTPUT_TOKENS = 256;
    private static final long DEADLINE_MILLIS = 10_000;

    @Option(names = "--customer", required = true, description = "The customer.")
    private String customer;

    @Option(names = "--model", required = true, description = "The model, with or without a weight version.")
    private String model;

    @Option(names = "--scope", defaultValue = "", description = "The shared cache scope.")
    private String scope;

    @Option(names = "--prompt-file", required = true, description = "A file that contains the complete prompt.")
    private Path promptFile;

    @Override
    OperatorRequest request() throws IOException {
        String prompt = Files.readString(promptFile);
        ChatCall call = new ChatCall(model, "", scope, prompt, MAXIMUM_OUTPUT_TOKENS, DEADLINE_MILLIS, 0, "", "");
        return new OperatorRequest.Explain(new CustomerId(customer), call);
    }

    @Override
    void printAnswer(OperatorAnswer answer, PrintWriter out) {
        ((OperatorAnswer.Explained) answer).candidates().forEach(out::println);
    }
}
