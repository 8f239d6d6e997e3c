package org.fuchsiatrail.wire.peer;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;

/**
 * The handshake of a peer connection: a mutual challenge-response authentication with the shared secret.
 *
 * <p>The accepting side sends a challenge that consists of the protocol version and a nonce. The connecting side
 * responds with a hello frame: a nonce of its own, an HMAC over the challenge, that nonce and its router name, and the
 * name. The accepting side responds with a welcome frame: an HMAC over the connecting side's nonce.
 *
 * <p>An accepting side that acknowledges probes marks its nonce: the last bytes are an HMAC over the others. Older
 * builds send a nonce that is random throughout, and accept either.
 */
final class Handshake {

    /** The protocol version. A connection between routers with different protocol versions is refused. */
    static final byte PROTOCOL_VERSION = 1;

    static final int NONCE_BYTES = 16;
    private static final int NONCE_MARK_BYTES = 4;
    private static final int SIGNATURE_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final byte[] secret;

    Handshake(String secret) {
        this.secret = secret.getBytes(StandardCharsets.UTF_8);
    }

    byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    /** Returns a nonce that marks the challenge of a router which acknowledges probes. */
    byte[] acknowledgingNonce() {
        byte[] nonce = nonce();
        byte[] mark = acknowledgementMark(nonce);
        System.arraycopy(mark, 0, nonce, NONCE_BYTES - NONCE_MARK_BYTES, NONCE_MARK_BYTES);
        return nonce;
    }

    /** Returns whether the router that sent a challenge acknowledges probes. */
    boolean announcesAcknowledgements(byte[] challenge) {
        byte[] nonce = Arrays.copyOfRange(challenge, 1, challenge.length);
        byte[] mark = Arrays.copyOfRange(nonce, NONCE_BYTES - NONCE_MARK_BYTES, NONCE_BYTES);
        return MessageDigest.isEqual(mark, acknowledgementMark(nonce));
    }

    private byte[] acknowledgementMark(byte[] nonce) {
        byte[] random = Arrays.copyOf(nonce, NONCE_BYTES - NONCE_MARK_BYTES);
        return Arrays.copyOf(sign("acknowledges", random), NONCE_MARK_BYTES);
    }

    byte[] challenge(byte[] nonce) {
        return ByteBuffer.allocate(1 + NONCE_BYTES)
                .put(PROTOCOL_VERSION)
                .put(nonce)
                .array();
    }

    boolean isChallenge(byte[] frame) {
        return frame.length == 1 + NONCE_BYTES && frame[0] == PROTOCOL_VERSION;
    }

    byte[] hello(byte[] challenge, byte[] ownNonce, String name) {
        byte[] nameBytes = name.getBytes(StandardCharsets.UTF_8);
        byte[] signature = sign("hello", challenge, ownNonce, nameBytes);
        return ByteBuffer.allocate(NONCE_BYTES + SIGNATURE_BYTES + nameBytes.length)
                .put(ownNonce)
                .put(signature)
                .put(nameBytes)
                .array();
    }

    /**
     * Returns the router name of the connecting side, or null if the hello frame is not signed with the shared secret.
     */
    String verifyHello(byte[] challenge, byte[] hello) {
        if (hello.length <= NONCE_BYTES + SIGNATURE_BYTES) {
            return null;
        }
        byte[] nonce = Arrays.copyOfRange(hello, 0, NONCE_BYTES);
        byte[] signature = Arrays.copyOfRange(hello, NONCE_BYTES, NONCE_BYTES + SIGNATURE_BYTES);
        byte[] name = Arrays.copyOfRange(hello, NONCE_BYTES + SIGNATURE_BYTES, hello.length);
        boolean authentic = MessageDigest.isEqual(signature, sign("hello", challenge, nonce, name));
        return authentic ? new String(name, StandardCharsets.UTF_8) : null;
    }

    byte[] welcome(byte[] hello) {
        return sign("welcome", Arrays.copyOfRange(hello, 0, NONCE_BYTES));
    }

    boolean verifyWelcome(byte[] ownNonce, byte[] welcome) {
        return MessageDigest.isEqual(welcome, sign("welcome", ownNonce));
    }

    private byte[] sign(String frameType, byte[]... parts) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            mac.update(frameType.getBytes(StandardCharsets.UTF_8));
            for (byte[] part : parts) {
                mac.update((byte) part.length);
                mac.update(part);
            }
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
