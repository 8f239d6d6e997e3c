package org.fuchsiatrail;

/**
 * How a claimed call ended.
 *
 * @param claimId the claim
 * @param entryKey the key of the entry
 * @param kind what happened
 * @param status the HTTP status of the answer, when there is one
 * @param contentType the media type of the answer
 * @param body the body of the answer
 */
public record ClaimEnd(String claimId, String entryKey, Kind kind, int status, String contentType, byte[] body) {

    /** What became of the claim. */
    public enum Kind {
        /** It was never dispatched; the key is free again. */
        RELEASED,
        /** It ran and has an answer. */
        ANSWERED,
        /** It was dispatched and nobody knows whether it ran. */
        UNKNOWN
    }

    /**
     * Says that a claim was never dispatched.
     *
     * @param claim the claim
     * @return the end
     */
    public static ClaimEnd released(LedgerClaim claim) {
        return new ClaimEnd(claim.claimId(), claim.entryKey(), Kind.RELEASED, 0, "", new byte[0]);
    }

    /**
     * Says that nobody knows whether a claimed call ran.
     *
     * @param claim the claim
     * @return the end
     */
    public static ClaimEnd unknown(LedgerClaim claim) {
        return new ClaimEnd(claim.claimId(), claim.entryKey(), Kind.UNKNOWN, 0, "", new byte[0]);
    }
}
