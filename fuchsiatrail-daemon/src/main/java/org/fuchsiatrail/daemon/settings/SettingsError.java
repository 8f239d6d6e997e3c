package org.fuchsiatrail.daemon.settings;

/**
 * One error of a settings file.
 *
 * @param line the line, from 1; 0 when the error has none
 * @param path the key, or the file
 * @param found what is wrong, with the value unless it is secret
 * @param expected the expected value
 * @param advice what to do
 */
public record SettingsError(int line, String path, String found, String expected, String advice) {

    @Override
    public String toString() {
        String place = line > 0 ? "line " + line + ", " : "";
        return place + path + ": " + found + "\n  Expected: " + expected + "\n  What to do: " + advice;
    }
}
