package org.fuchsiatrail.daemon.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.fuchsiatrail.daemon.settings.SettingKey;
import org.fuchsiatrail.daemon.settings.SettingsReader;
import org.fuchsiatrail.daemon.settings.SettingsResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        description = "Checks settings and lists their keys.",
        subcommands = {SettingsCommand.Check.class, SettingsCommand.Keys.class})
final class SettingsCommand {

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Prints every fault of a settings file.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The settings file.")
        private Path file;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            return switch (SettingsReader.read(file)) {
                case SettingsResult.Valid valid -> {
                    spec.commandLine().getOut().println(file + " is good.");
                    yield 0;
                }
                case SettingsResult.Invalid invalid -> FaultPrinter.print(spec, file, invalid.faults());
            };
        }
    }

    @Command(name = "keys", mixinStandardHelpOptions = true, description = "Prints every key as a Markdown table.")
    static final class Keys implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            out.println("| key | default | unit | bounds | meaning |");
            out.println("|---|---|---|---|---|");
            for (SettingKey key : SettingKey.values()) {
                out.println(key.documentationRow());
            }
            out.flush();
            return 0;
        }
    }
}
