package org.fuchsiatrail;

/** The ledger's answer to a claim. */
public sealed interface ClaimVerdict {

    /** The claim is written; its holder, and nobody else, may dispatch. */
    record Granted() implements ClaimVerdict {}

    /** Another claim for the key may be running. */
    record Running() implements ClaimVerdict {}

    /** An earlier claim for the key was dispatched and its outcome is unknown. */
    record UnknownOutcome() implements ClaimVerdict {}

    /** The key belongs to another call. */
    record OtherCall() implements ClaimVerdict {}

    /**
     * An earlier claim for the key has an answer.
     *
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the body
     */
    record Recorded(int status, String contentType, byte[] body) implements ClaimVerdict {}

    /**
     * The ledger could not decide; the claim may be written and must be released.
     *
     * @param reason why
     */
    record Undecided(String reason) implements ClaimVerdict {}
}
