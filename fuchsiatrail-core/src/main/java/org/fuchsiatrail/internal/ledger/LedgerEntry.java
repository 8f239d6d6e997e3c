package org.fuchsiatrail.internal.ledger;

import org.fuchsiatrail.ClaimEnd;
import org.fuchsiatrail.ClaimVerdict;
import org.fuchsiatrail.LedgerClaim;

/**
 * One call that must not be repeated, as the ledger keeps it.
 *
 * @param key customer, service and idempotency key
 * @param digest the digest of the call
 * @param claimId the claim that may dispatch it
 * @param state where it stands
 * @param expiresAtMillis after this moment its holder does not dispatch it
 * @param endedAtMillis when it ended, 0 while it is claimed
 * @param status the HTTP status of its answer
 * @param contentType the media type of its answer
 * @param body the body of its answer
 */
public record LedgerEntry(
        String key,
        String digest,
        String claimId,
        State state,
        long expiresAtMillis,
        long endedAtMillis,
        int status,
        String contentType,
        byte[] body) {

    /** How long after its expiry a claim may still be running before its outcome counts as unknown. */
    static final long RUNNING_GRACE_MILLIS = 2_000;

    /** Where a call stands. */
    public enum State {
        /** Its holder may dispatch it, or has. */
        CLAIMED,
        /** It ran and has an answer. */
        ANSWERED,
        /** It was dispatched, or may have been, and nobody knows whether it ran. */
        UNKNOWN
    }

    static LedgerEntry claimed(LedgerClaim claim) {
        return new LedgerEntry(
                claim.entryKey(),
                claim.digest(),
                claim.claimId(),
                State.CLAIMED,
                claim.expiresAtMillis(),
                0,
                0,
                "",
                new byte[0]);
    }

    LedgerEntry ended(ClaimEnd end, long now) {
        State ended = end.kind() == ClaimEnd.Kind.ANSWERED ? State.ANSWERED : State.UNKNOWN;
        return new LedgerEntry(
                key, digest, claimId, ended, expiresAtMillis, now, end.status(), end.contentType(), end.body());
    }

    LedgerEntry abandoned(long now) {
        return new LedgerEntry(key, digest, claimId, State.UNKNOWN, expiresAtMillis, now, 0, "", new byte[0]);
    }

    boolean isAbandoned(long now) {
        return state == State.CLAIMED && now > expiresAtMillis + RUNNING_GRACE_MILLIS;
    }

    ClaimVerdict verdictFor(LedgerClaim claim, long now) {
        if (!digest.equals(claim.digest())) {
            return new ClaimVerdict.OtherCall();
        }
        if (state == State.ANSWERED) {
            return new ClaimVerdict.Recorded(status, contentType, body);
        }
        if (state == State.UNKNOWN || isAbandoned(now)) {
            return new ClaimVerdict.UnknownOutcome();
        }
        return claimId.equals(claim.claimId()) ? new ClaimVerdict.Granted() : new ClaimVerdict.Running();
    }

    int size() {
        return body.length + key.length() + digest.length() + claimId.length();
    }
}
