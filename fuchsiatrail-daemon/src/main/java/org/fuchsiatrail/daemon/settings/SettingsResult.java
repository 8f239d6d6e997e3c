package org.fuchsiatrail.daemon.settings;

import java.util.List;

/** What reading a settings file gives. */
public sealed interface SettingsResult {

    /**
     * The settings are good.
     *
     * @param settings the settings
     */
    record Valid(Settings settings) implements SettingsResult {}

    /**
     * The settings have faults.
     *
     * @param faults every fault
     */
    record Invalid(List<SettingsFault> faults) implements SettingsResult {}
}
