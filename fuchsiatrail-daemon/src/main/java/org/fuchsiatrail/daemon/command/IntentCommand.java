package org.fuchsiatrail.daemon.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "intent",
        mixinStandardHelpOptions = true,
        description = "Plans, confirms and shows intents.",
        subcommands = {IntentCommand.Plan.class, IntentCommand.Confirm.class, IntentCommand.Show.class})
final class IntentCommand {

    private static final ObjectMapper YAML = new YAMLMapper(new YAMLFactory());

    /**
     * The file that stores a plan between the commands plan and confirm.
     *
     * @param planId the id of the plan
     * @param intent the planned intent
     */
    private record PlanFile(String planId, Intent intent) {}

    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description = "Shows what an intent would change, and writes FILE.plan for 'intent confirm'.")
    static final class Plan extends OperatorCommand {
        @Parameters(paramLabel = "FILE", description = "The intent, in YAML.")
        private Path file;

        private Intent intent;

        @Override
        OperatorRequest request() throws IOException {
            intent = IntentFiles.read(file, Intent.class);
            return new OperatorRequest.Plan(intent);
        }

        @Override
        void printAnswer(OperatorAnswer answer, PrintWriter out) throws IOException {
            OperatorAnswer.Planned planned = (OperatorAnswer.Planned) answer;
            Path planFile = Path.of(file + ".plan");
            Files.write(planFile, YAML.writeValueAsBytes(new PlanFile(planned.planId(), intent)));
            out.println("Against revision " + planned.baseRevision() + ", this would change:");
            planned.effects().forEach(effect -> out.println("- " + effect));
            out.println(
                    "Nothing has changed yet. To put the plan in force, run: fuchsiatrail intent confirm " + planFile);
        }
    }

    @Command(name = "confirm", mixinStandardHelpOptions = true, description = "Puts a plan in force.")
    static final class Confirm extends OperatorCommand {
        @Parameters(paramLabel = "PLAN", description = "The file that 'intent plan' wrote.")
        private Path file;

        @Override
        OperatorRequest request() throws IOException {
            PlanFile plan = IntentFiles.read(file, PlanFile.class);
            if (plan.planId() == null || plan.intent() == null) {
                throw new IOException(file + " is not a plan file.\nCreate one with 'fuchsiatrail intent plan'.");
            }
            return new OperatorRequest.Confirm(plan.planId(), plan.intent());
        }

        @Override
        void printAnswer(OperatorAnswer answer, PrintWriter out) {
            OperatorAnswer.Confirmed confirmed = (OperatorAnswer.Confirmed) answer;
            out.println("Revision " + confirmed.revision() + " is in force on " + confirmed.inForce() + ".");
            if (!confirmed.lagging().isEmpty()) {
                out.println("Not yet reported by " + confirmed.lagging()
                        + " (code 4005). Run 'fuchsiatrail status' until none lags.");
            }
        }
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Shows the intent in force, as YAML.")
    static final class Show extends OperatorCommand {
        @Override
        OperatorRequest request() {
            return new OperatorRequest.Show();
        }

        @Override
        void printAnswer(OperatorAnswer answer, PrintWriter out) throws IOException {
            OperatorAnswer.Shown shown = (OperatorAnswer.Shown) answer;
            out.println("# revision " + shown.revision());
            out.print(YAML.writeValueAsString(shown.intent()));
        }
    }
}
