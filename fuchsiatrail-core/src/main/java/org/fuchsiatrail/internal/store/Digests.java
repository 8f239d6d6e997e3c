package org.fuchsiatrail.internal.store;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;

/** SHA-256 digests and HMAC signatures, computed by the Java security library. */
public final class Digests {

    private static final String MAC_ALGORITHM = "HmacSHA256";

    private Digests() {}

    /**
     * Computes the SHA-256 digest of byte arrays.
     *
     * @param parts the byte arrays; their lengths are included in the digest
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
     * Computes the SHA-256 digest of strings in UTF-8.
     *
     * @param parts the strings; their lengths in bytes are included in the digest
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
     * Creates an HMAC-SHA-256 generator.
     *
     * @param secret the key; an empty key is replaced by a fixed key for tests
     * @return the generator, which is not safe for use by several threads
     */
    public static Mac hmacSha256(String secret) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            String key = secret.isEmpty() ? "unset" : secret;
            mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), MAC_ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Compares two strings in constant time, independent of the position at which they differ.
     *
     * @param left a string
     * @param right a string
     * @return whether the strings are equal
     */
    public static boolean constantTimeEquals(String left, String right) {
        return MessageDigest.isEqual(left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
    }
}
