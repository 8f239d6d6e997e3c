package org.fuchsiatrail;

/**
 * Something in a configuration that is wrong or has no effect.
 *
 * @param severity how bad it is
 * @param where the entry, as a path in the file
 * @param text what is the matter, and what to do
 */
public record ConfigurationFinding(Severity severity, String where, String text) {

    /** How bad a finding is. */
    public enum Severity {
        /** Routers refuse the configuration, or it names something that does not exist. */
        ERROR,
        /** Routers accept it, but an entry never matches, or entries contradict each other. */
        WARNING
    }
}
