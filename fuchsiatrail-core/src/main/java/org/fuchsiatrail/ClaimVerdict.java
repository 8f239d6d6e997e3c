package org.fuchsiatrail;

/** The ledger's decision on a claim. */
public sealed interface ClaimVerdict {

    /** The claim is written; only its holder may dispatch the call. */
    record Granted() implements ClaimVerdict {}

    /** Another claim for the key may be running. */
    record Running() implements ClaimVerdict {}

    /** The call of an earlier claim for the key was dispatched, and its outcome is unknown. */
    record UnknownOutcome() implements ClaimVerdict {}

    /** The idempotency key was used with a different call. */
    record OtherCall() implements ClaimVerdict {}

    /**
     * The call of an earlier claim for the key has a recorded answer.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the body
     */
    record Recorded(int status, String contentType, byte[] body) implements ClaimVerdict {}

    /**
     * The ledger could not decide; the claim may have been written and must be released.
     *
     * @param reason why there is no decision
     */
    record Undecided(String reason) implements ClaimVerdict {}
}
