package org.fuchsiatrail.forwarding;

/** What becomes of the requests that run on an engine when it is ordered to load other weights. */
public enum SwitchMode {
    /** The engine resets their streams; resumable ones go on at other engines. */
    RESET_RUNS,
    /** They continue under the new weights. */
    RETAIN_RUNS
}
