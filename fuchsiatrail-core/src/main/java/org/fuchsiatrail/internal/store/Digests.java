package org.fuchsiatrail.internal.store;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;

/** Digests and signatures, by the platform's own library. */
public final class Digests {

    private static final String SIGNATURE = "HmacSHA256";

    private Digests() {}

    /**
     * Digests some parts.
     *
     * @param parts the parts; their lengths are part of the digest
     * @return 64 hexadecimal digits
     */
    public static String sha256(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                digest.update(Integer.toString(part.length).getBytes(StandardCharsets.UTF_8));
                digest.update((byte) ':');
                digest.update(part);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Digests some texts.
     *
     * @param parts the texts
     * @return 64 hexadecimal digits
     */
    public static String sha256(String... parts) {
        byte[][] bytes = new byte[parts.length][];
        for (int index = 0; index < parts.length; index++) {
            bytes[index] = parts[index].getBytes(StandardCharsets.UTF_8);
        }
        return sha256(bytes);
    }

    /**
     * Prepares signatures with one key.
     *
     * @param secret the key; an empty one is replaced by a fixed one for tests
     * @return a signer, for one thread
     */
    public static Mac hmacSha256(String secret) {
        try {
            Mac mac = Mac.getInstance(SIGNATURE);
            String key = secret.isEmpty() ? "unset" : secret;
            mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), SIGNATURE));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Compares two texts in a time that does not depend on where they differ.
     *
     * @param left a text
     * @param right a text
     * @return whether they are equal
     */
    public static boolean constantTimeEquals(String left, String right) {
        return MessageDigest.isEqual(left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
    }
}
