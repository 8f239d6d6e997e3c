package org.fuchsiatrail.daemon.command;

import org.fuchsiatrail.standins.StandinCommand;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** The root command, which has the other commands as subcommands. */
@Command(
        name = "fuchsiatrail",
        mixinStandardHelpOptions = true,
        version = "fuchsiatrail 0.1.0",
        description = "Routes language-model traffic with long shared prompts.",
        footer = {
            "",
            "Examples:",
            "  fuchsiatrail settings check router.yaml",
            "  fuchsiatrail router --settings router.yaml",
            "  fuchsiatrail intent plan intent.yaml --router 127.0.0.1:7301 --token-file token",
            "  fuchsiatrail intent confirm intent.yaml.plan --router 127.0.0.1:7301 --token-file token",
            "  fuchsiatrail status --router 127.0.0.1:7301 --token-file token",
            "",
            "The router and the token can also be set in FUCHSIATRAIL_ROUTER and FUCHSIATRAIL_TOKEN."
        },
        subcommands = {
            RouterCommand.class,
            SettingsCommand.class,
            IntentCommand.class,
            ConfigurationCommand.class,
            StatusCommand.class,
            DrainCommand.class,
            ExplainCommand.class,
            ResultCodesCommand.class,
            KeyCommand.class,
            StandinCommand.class,
            AutoComplete.GenerateCompletion.class,
            HelpCommand.class
        })
public final class FuchsiatrailCommand {}
