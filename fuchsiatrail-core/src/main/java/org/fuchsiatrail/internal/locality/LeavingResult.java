package org.fuchsiatrail.internal.locality;

import org.fuchsiatrail.FailureDomain;

/** Whether a request leaves its failure domain, and the share of requests that the present difference asks for. */
public sealed interface LeavingResult {

    /** Why a request leaves, or why it stays although another domain has a usable upstream. */
    enum Reason {
        /** The own domain has no usable upstream. */
        NO_UPSTREAM("no-upstream"),
        /** The shared parts of the prompt are there. */
        SHARED_PARTS("shared-parts"),
        /** It continues a stream, and the upstream that is the best for it is there. */
        RESUMED("resumed"),
        /** In the own domain it would be answered beyond the latency target. */
        LATE("late"),
        /** The wait in the own domain is clearly longer. */
        LONGER_WAIT("longer-wait"),
        /** Leaving gains less than it costs. */
        NO_GAIN("no-gain"),
        /** Leaving gains, but others leave already or the other domain has no more room. */
        SHARE("share"),
        /** As many as permitted have left in this second. */
        MOST_A_SECOND("most-a-second");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /** Returns the reason as it stands in metrics and log lines. */
        public String text() {
            return text;
        }
    }

    /**
     * The request stays.
     *
     * @param reason why
     * @param askedShare the share of requests that the present difference asks to leave, 0 to 1
     */
    record Stay(Reason reason, double askedShare) implements LeavingResult {}

    /**
     * The request leaves.
     *
     * @param domain where to
     * @param reason why
     * @param askedShare the share of requests that the present difference asks to leave, 0 to 1
     */
    record Leave(FailureDomain domain, Reason reason, double askedShare) implements LeavingResult {}

    /** Returns why. */
    Reason reason();

    /** Returns the share of requests that the present difference asks to leave, 0 to 1. */
    double askedShare();
}
