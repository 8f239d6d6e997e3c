package org.fuchsiatrail.daemon.command;

import java.io.PrintWriter;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.Callable;

import org.fuchsiatrail.ApiKeys;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "key",
        mixinStandardHelpOptions = true,
        description = "Generates an API key for a customer, and its keyHash for the intent.")
final class KeyCommand implements Callable<Integer> {

    private static final int SECRET_BYTES = 24;
    private static final int SALT_BYTES = 8;

    @Parameters(paramLabel = "CUSTOMER", description = "The customer's id.")
    private String customer;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        SecureRandom random = new SecureRandom();
        String key = customer + "." + hex(random, SECRET_BYTES);
        PrintWriter out = spec.commandLine().getOut();
        out.println("key: " + key);
        out.println("keyHash: " + ApiKeys.hash(hex(random, SALT_BYTES), key));
        out.flush();
        return 0;
    }

    private static String hex(SecureRandom random, int bytes) {
        byte[] value = new byte[bytes];
        random.nextBytes(value);
        return HexFormat.of().formatHex(value);
    }
}
