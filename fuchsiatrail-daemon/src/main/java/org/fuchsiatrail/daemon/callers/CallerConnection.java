package org.fuchsiatrail.daemon.callers;

import org.fuchsiatrail.CallerAnswer;

/** Writes the answer of one request in the form that its caller asked for. */
interface CallerConnection {

    /** Writes a part of the answer; returns true when it was the last. */
    boolean write(CallerAnswer answer);
}
