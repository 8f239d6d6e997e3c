package org.fuchsiatrail;

/**
 * The outcome of a claimed call.
 *
 * @param claimId the id of the claim
 * @param entryKey the key of the ledger entry
 * @param kind the kind of outcome
 * @param status the HTTP status of the answer, when there is one
 * @param contentType the media type of the answer
 * @param body the body of the answer
 */
public record ClaimOutcome(String claimId, String entryKey, Kind kind, int status, String contentType, byte[] body) {

    /** The kind of outcome. The constant names are sent to peers. */
    public enum Kind {
        /** The call was never dispatched; the idempotency key can be claimed again. */
        RELEASED,
        /** The call ran and has an answer. */
        ANSWERED,
        /** The call was dispatched, and it is unknown whether it ran. */
        UNKNOWN
    }

    /**
     * Returns the outcome of a claim whose call was never dispatched.
     *
     * @param claim the claim
     * @return the outcome
     */
    public static ClaimOutcome released(LedgerClaim claim) {
        return new ClaimOutcome(claim.claimId(), claim.entryKey(), Kind.RELEASED, 0, "", new byte[0]);
    }

    /**
     * Returns the outcome of a claim whose call was dispatched and may have run.
     *
     * @param claim the claim
     * @return the outcome
     */
    public static ClaimOutcome unknown(LedgerClaim claim) {
        return new ClaimOutcome(claim.claimId(), claim.entryKey(), Kind.UNKNOWN, 0, "", new byte[0]);
    }
}
