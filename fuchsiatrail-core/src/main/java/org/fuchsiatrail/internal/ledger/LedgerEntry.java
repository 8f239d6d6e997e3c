package org.fuchsiatrail.internal.ledger;

import org.fuchsiatrail.ClaimOutcome;
import org.fuchsiatrail.ClaimVerdict;
import org.fuchsiatrail.LedgerClaim;

/**
 * A ledger entry: one call that must run at most once, in the form kept in the platform's store.
 *
 * @param key the customer, service and idempotency key
 * @param digest the digest of the call
 * @param claimId the claim whose holder may dispatch the call
 * @param state the state of the call
 * @param expiresAtMillis the time after which the holder of the claim no longer dispatches the call
 * @param endedAtMillis the time at which the call ended, 0 while it is claimed
 * @param status the HTTP status of the answer
 * @param contentType the media type of the answer
 * @param body the body of the answer
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

    /** The time after a claim expires during which its call may still run; afterwards its outcome counts as unknown. */
    static final long RUNNING_GRACE_MILLIS = 2_000;

    /** The state of a call. */
    public enum State {
        /** The holder of the claim may dispatch the call, or has dispatched it. */
        CLAIMED,
        /** The call ran and its answer is recorded. */
        ANSWERED,
        /** The call was dispatched, or may have been, and it is not known whether it ran. */
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

    LedgerEntry withOutcome(ClaimOutcome outcome, long now) {
        State newState = outcome.kind() == ClaimOutcome.Kind.ANSWERED ? State.ANSWERED : State.UNKNOWN;
        return new LedgerEntry(
                key,
                digest,
                claimId,
                newState,
                expiresAtMillis,
                now,
                outcome.status(),
                outcome.contentType(),
                outcome.body());
    }

    LedgerEntry withUnknownOutcome(long now) {
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

    int approximateBytes() {
        return body.length + key.length() + digest.length() + claimId.length();
    }
}
