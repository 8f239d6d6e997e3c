package org.fuchsiatrail.daemon.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiatrail.ConfigurationFinding;
import org.fuchsiatrail.ConfigurationFinding.Severity;
import org.fuchsiatrail.Fuchsiatrail;
import org.fuchsiatrail.Intent;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "configuration",
        mixinStandardHelpOptions = true,
        description = "Checks a configuration before it is sent.",
        subcommands = ConfigurationCommand.Check.class)
final class ConfigurationCommand {

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Finds errors in an intent, entries that never match, and entries that contradict each other.",
            exitCodeListHeading = "Exit codes:%n",
            exitCodeList = {
                "0:Nothing was found.",
                "1:Routers accept it, but something was found.",
                "2:It has errors, or a file cannot be read."
            })
    static final class Check implements Callable<Integer> {
        private static final int EXIT_CODE_WARNINGS = 1;
        private static final int EXIT_CODE_ERRORS = 2;

        @Parameters(paramLabel = "FILE", description = "The intent, in YAML.")
        private Path file;

        @Option(
                names = "--against",
                paramLabel = "FILE",
                description = "The intent in force, as 'intent show' prints it; prints what would change.")
        private Path inForce;

        @Option(names = "--json", description = "Prints JSON.")
        private boolean json;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            try {
                Intent intent = read(file);
                List<ConfigurationFinding> findings = new ArrayList<>(Fuchsiatrail.check(intent));
                findings.addAll(unusedShares());
                List<String> changes = inForce == null ? List.of() : Fuchsiatrail.effects(read(inForce), intent);
                if (json) {
                    printJson(out, findings, changes);
                } else {
                    printTable(out, findings, changes);
                }
                out.flush();
                return exitCode(findings);
            } catch (IOException e) {
                spec.commandLine().getErr().println(e.getMessage());
                spec.commandLine().getErr().flush();
                return EXIT_CODE_ERRORS;
            }
        }

        private static Intent read(Path path) throws IOException {
            Intent intent = IntentFiles.read(path, Intent.class);
            return intent == null ? Intent.empty() : intent;
        }

        /** Returns shares that are read as 1, because a customer cannot have less. */
        private List<ConfigurationFinding> unusedShares() throws IOException {
            List<ConfigurationFinding> findings = new ArrayList<>();
            JsonNode customers = IntentFiles.read(file, JsonNode.class).path("customers");
            for (int index = 0; index < customers.size(); index++) {
                JsonNode share = customers.get(index).path("share");
                if (share.isNumber() && share.asInt() < 1) {
                    findings.add(new ConfigurationFinding(
                            Severity.WARNING,
                            "customers[" + index + "].share",
                            share.asText() + " is read as 1; to serve a customer nothing, remove it."));
                }
            }
            return findings;
        }

        private static int exitCode(List<ConfigurationFinding> findings) {
            if (findings.isEmpty()) {
                return 0;
            }
            return findings.stream().anyMatch(finding -> finding.severity() == Severity.ERROR)
                    ? EXIT_CODE_ERRORS
                    : EXIT_CODE_WARNINGS;
        }

        private void printTable(PrintWriter out, List<ConfigurationFinding> findings, List<String> changes) {
            findings.forEach(
                    finding -> out.printf("%-8s %-26s %s%n", finding.severity(), finding.where(), finding.text()));
            out.println(file + (findings.isEmpty() ? ": nothing found." : ": " + findings.size() + " found."));
            if (inForce != null) {
                out.println("Against " + inForce + ", this would change:");
                changes.forEach(change -> out.println("- " + change));
            }
        }

        private void printJson(PrintWriter out, List<ConfigurationFinding> findings, List<String> changes)
                throws IOException {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("file", file.toString());
            result.put("findings", findings);
            result.put("changes", changes);
            out.println(new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(result));
        }
    }
}
