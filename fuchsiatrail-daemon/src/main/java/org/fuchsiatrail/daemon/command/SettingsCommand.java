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
        description = "Validates a settings file, or lists the settings keys.",
        subcommands = {SettingsCommand.Check.class, SettingsCommand.Keys.class})
final class SettingsCommand {

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Validates a settings file and prints all errors in it.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The settings file.")
        private Path file;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            return switch (SettingsReader.read(file)) {
                case SettingsResult.Valid valid -> {
                    spec.commandLine().getOut().println(file + " is valid.");
                    yield 0;
                }
                case SettingsResult.Invalid invalid -> SettingsErrorPrinter.print(spec, file, invalid.errors());
            };
        }
    }

    @Command(
            name = "keys",
            mixinStandardHelpOptions = true,
            description = "Prints all settings keys as a Markdown table.")
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
