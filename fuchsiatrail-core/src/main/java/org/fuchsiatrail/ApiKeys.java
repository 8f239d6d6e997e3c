package org.fuchsiatrail;

import org.fuchsiatrail.internal.store.Digests;

/** Computes the salted hashes under which API keys are stored. */
public final class ApiKeys {

    private ApiKeys() {}

    /**
     * Computes the hash of an API key as stored in an intent.
     *
     * @param salt at least 8 hexadecimal digits, different for each key
     * @param key the key, {@code customer.secret}
     * @return {@code salt:sha256}, both hexadecimal
     */
    public static String hash(String salt, String key) {
        return salt + ":" + Digests.sha256(salt, key);
    }
}
