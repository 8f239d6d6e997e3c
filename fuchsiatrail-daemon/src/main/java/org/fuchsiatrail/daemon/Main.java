package org.fuchsiatrail.daemon;

import org.fuchsiatrail.daemon.command.FuchsiatrailCommand;
import picocli.CommandLine;

/** Entry point of the program. */
public final class Main {

    private Main() {}

    /**
     * Runs the command line.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        CommandLine command = new CommandLine(new FuchsiatrailCommand()).setCaseInsensitiveEnumValuesAllowed(true);
        System.exit(command.execute(arguments));
    }
}
