package org.fuchsiatrail.daemon.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

import org.fuchsiatrail.daemon.settings.SettingsError;
import picocli.CommandLine.Model.CommandSpec;

/** Prints the errors of a settings file. */
final class SettingsErrorPrinter {

    private static final int EXIT_CODE_INVALID_SETTINGS = 2;

    private SettingsErrorPrinter() {}

    /** Prints all errors and returns the exit code for invalid settings. */
    static int print(CommandSpec spec, Path file, List<SettingsError> errors) {
        PrintWriter err = spec.commandLine().getErr();
        err.println(file + " has " + errors.size() + (errors.size() == 1 ? " error:" : " errors:"));
        errors.forEach(error -> err.println("- " + error));
        err.flush();
        return EXIT_CODE_INVALID_SETTINGS;
    }
}
