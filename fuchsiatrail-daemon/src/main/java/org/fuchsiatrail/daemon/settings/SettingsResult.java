package org.fuchsiatrail.daemon.settings;

import java.util.List;

/** The result of reading a settings file. */
public sealed interface SettingsResult {

    /**
     * The settings are valid.
     *
     * @param settings the validated settings
     */
    record Valid(Settings settings) implements SettingsResult {}

    /**
     * The settings have errors.
     *
     * @param errors all errors, at least one
     */
    record Invalid(List<SettingsError> errors) implements SettingsResult {}
}
