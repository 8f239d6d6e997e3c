package org.fuchsiatrail.daemon.callers;

import org.fuchsiatrail.CallerAnswer;

/** Writes the response to one request, in the format that its caller requested. */
interface ResponseWriter {

    /** Writes the next part of the response; returns true when it was the last part. */
    boolean write(CallerAnswer answer);
}
