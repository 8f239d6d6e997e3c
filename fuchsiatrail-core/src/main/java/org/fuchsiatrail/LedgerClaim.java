package org.fuchsiatrail;

/**
 * The wish to run a call that must not be repeated.
 *
 * @param claimId the id of this wish, unique over all routers and restarts
 * @param entryKey customer, service and idempotency key
 * @param digest the digest of the call, to tell a repetition from another call with the same key
 * @param holder the router that holds the caller
 * @param expiresAtMillis after this moment the claim will not be dispatched any more
 */
public record LedgerClaim(String claimId, String entryKey, String digest, EntryVmId holder, long expiresAtMillis) {}
