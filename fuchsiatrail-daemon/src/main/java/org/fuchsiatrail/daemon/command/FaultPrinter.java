package org.fuchsiatrail.daemon.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

import org.fuchsiatrail.daemon.settings.SettingsFault;
import picocli.CommandLine.Model.CommandSpec;

/** Prints the faults of a settings file. */
final class FaultPrinter {

    private static final int FAULTY = 2;

    private FaultPrinter() {}

    /** Prints every fault and returns the exit code of a faulty file. */
    static int print(CommandSpec spec, Path file, List<SettingsFault> faults) {
        PrintWriter err = spec.commandLine().getErr();
        err.println(file + " has " + faults.size() + (faults.size() == 1 ? " fault:" : " faults:"));
        faults.forEach(fault -> err.println("- " + fault));
        err.flush();
        return FAULTY;
    }
}
