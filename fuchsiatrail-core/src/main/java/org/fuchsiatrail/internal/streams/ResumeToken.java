package org.fuchsiatrail.internal.streams;

import javax.crypto.Mac;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;

import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.internal.store.Digests;

/**
 * Writes and checks the event ids that let any router go on with a stream.
 *
 * <p>A token names the next position and the model version, signed together with the request's fingerprint, so it is
 * of use only to the same customer with the same request.
 */
final class ResumeToken {

    private static final int SIGNATURE_BYTES = 12;

    private final Mac signer;

    ResumeToken(String secret) {
        this.signer = Digests.hmacSha256(secret);
    }

    record Position(long next, ModelVersion model) {}

    String write(String fingerprint, ModelVersion model, long next) {
        String content = next + "~" + model;
        return content + "~" + sign(fingerprint, content);
    }

    Optional<Position> read(String fingerprint, String token) {
        int end = token.lastIndexOf('~');
        int middle = token.indexOf('~');
        if (middle <= 0 || end <= middle) {
            return Optional.empty();
        }
        String content = token.substring(0, end);
        if (!Digests.constantTimeEquals(sign(fingerprint, content), token.substring(end + 1))) {
            return Optional.empty();
        }
        long next = Long.parseLong(content.substring(0, middle));
        return Optional.of(new Position(next, ModelVersion.parse(content.substring(middle + 1))));
    }

    private String sign(String fingerprint, String content) {
        signer.update(fingerprint.getBytes(StandardCharsets.UTF_8));
        byte[] whole = signer.doFinal(content.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(whole, 0, SIGNATURE_BYTES);
    }
}
