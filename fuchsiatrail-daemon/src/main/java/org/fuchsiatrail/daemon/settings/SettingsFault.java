package org.fuchsiatrail.daemon.settings;

/**
 * One fault of a settings file.
 *
 * @param line the line, from 1; 0 when the fault has none
 * @param path the key
 * @param found what stands there
 * @param expected what should
 * @param advice what to do
 */
public record SettingsFault(int line, String path, String found, String expected, String advice) {

    @Override
    public String toString() {
        String place = line > 0 ? "line " + line + ", " : "";
        return place + path + ": " + found + "\n  Expected: " + expected + "\n  What to do: " + advice;
    }
}
