package org.fuchsiatrail;

/**
 * A claim of the exclusive permission to dispatch a call that is not idempotent.
 *
 * @param claimId the id of the claim, unique across all routers and restarts
 * @param entryKey the key of the ledger entry: customer, service and idempotency key
 * @param digest the digest of the call, which distinguishes a retry from a different call with the same key
 * @param holder the router to which the caller is connected
 * @param expiresAtMillis the time after which the claimed call is no longer dispatched, in milliseconds
 */
public record LedgerClaim(String claimId, String entryKey, String digest, EntryVmId holder, long expiresAtMillis) {}
