package org.fuchsiatrail;

import org.fuchsiatrail.internal.store.Digests;

/** Makes the stored form of API keys. */
public final class ApiKeys {

    private ApiKeys() {}

    /**
     * Makes the form in which an intent holds a key.
     *
     * @param salt at least 8 hexadecimal digits, fresh for each key
     * @param key the key, {@code customer.secret}
     * @return {@code salt:sha256}, both hexadecimal
     */
    public static String hash(String salt, String key) {
        return salt + ":" + Digests.sha256(salt, key);
    }
}
