package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.forwarding.AttemptEvent;

/** The losses of attempts that the router itself declares. */
final class DeclaredLosses {

    /** The loss of an attempt that is given up; whether its request was sent is not known. */
    static final AttemptEvent.Lost NO_PROGRESS = new AttemptEvent.Lost(true, true, "", "no progress");

    /** The loss of an attempt whose connection brought the answer of another request. */
    static final AttemptEvent.Lost MISMATCHED =
            new AttemptEvent.Lost(true, true, "", "answer does not belong to this request");

    private DeclaredLosses() {}

    static boolean includes(AttemptEvent.Lost lost) {
        return lost == NO_PROGRESS || lost == MISMATCHED;
    }
}
