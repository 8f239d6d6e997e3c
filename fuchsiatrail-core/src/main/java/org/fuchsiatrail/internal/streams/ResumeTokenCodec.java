package org.fuchsiatrail.internal.streams;

import javax.crypto.Mac;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;

import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.internal.store.Digests;

/**
 * Encodes and verifies the event ids with which any router can resume a stream.
 *
 * <p>A token contains the next position and the model version. The signature also covers the request's fingerprint, so
 * that a token is valid only for the same customer and the same request.
 */
final class ResumeTokenCodec {

    private static final int SIGNATURE_BYTES = 12;

    private final Mac signer;

    ResumeTokenCodec(String secret) {
        this.signer = Digests.hmacSha256(secret);
    }

    record Position(long nextPosition, ModelVersion model) {}

    String encode(String fingerprint, ModelVersion model, long position) {
        String content = position + "~" + model;
        return content + "~" + sign(fingerprint, content);
    }

    Optional<Position> decode(String fingerprint, String token) {
        int signatureSeparator = token.lastIndexOf('~');
        int positionSeparator = token.indexOf('~');
        if (positionSeparator <= 0 || signatureSeparator <= positionSeparator) {
            return Optional.empty();
        }
        String content = token.substring(0, signatureSeparator);
        if (!Digests.constantTimeEquals(sign(fingerprint, content), token.substring(signatureSeparator + 1))) {
            return Optional.empty();
        }
        long position = Long.parseLong(content.substring(0, positionSeparator));
        return Optional.of(new Position(position, ModelVersion.parse(content.substring(positionSeparator + 1))));
    }

    private String sign(String fingerprint, String content) {
        signer.update(fingerprint.getBytes(StandardCharsets.UTF_8));
        byte[] signature = signer.doFinal(content.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(signature, 0, SIGNATURE_BYTES);
    }
}
