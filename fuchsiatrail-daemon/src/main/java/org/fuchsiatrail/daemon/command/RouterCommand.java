package org.fuchsiatrail.daemon.command;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.fuchsiatrail.daemon.RouterProcess;
import org.fuchsiatrail.daemon.settings.SettingKey;
import org.fuchsiatrail.daemon.settings.Settings;
import org.fuchsiatrail.daemon.settings.SettingsReader;
import org.fuchsiatrail.daemon.settings.SettingsResult;
import org.fuchsiatrail.wire.observe.LogLines;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(
        name = "router",
        mixinStandardHelpOptions = true,
        description = "Runs a router until SIGTERM, then lets running requests finish before it exits.")
final class RouterCommand implements Callable<Integer> {

    @Option(names = "--settings", required = true, description = "The settings file.")
    private Path settings;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        return switch (SettingsReader.read(settings)) {
            case SettingsResult.Valid valid -> run(valid.settings());
            case SettingsResult.Invalid invalid -> SettingsErrorPrinter.print(spec, settings, invalid.errors());
        };
    }

    private static int run(Settings settings) throws Exception {
        LogLines.install(settings.text(SettingKey.LOG_LEVEL));
        RouterProcess router = new RouterProcess(settings);
        router.guardProcess();
        CountDownLatch stopped = new CountDownLatch(1);
        Thread stopper = new Thread(
                () -> {
                    router.stop();
                    stopped.countDown();
                },
                "stopper");
        Runtime.getRuntime().addShutdownHook(stopper);
        stopped.await();
        return 0;
    }
}
