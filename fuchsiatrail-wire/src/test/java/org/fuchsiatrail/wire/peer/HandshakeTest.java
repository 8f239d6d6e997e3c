package org.fuchsiatrail.wire.peer;

import java.util.Arrays;
import java.util.HexFormat;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a connection with a peer that does not hold the shared secret, replays a recorded hello frame or uses
 * another protocol version.
 */
class HandshakeTest {

    private final Handshake handshake = new Handshake("the shared secret");
    private final Handshake otherSecretHandshake = new Handshake("another secret");

    @Test
    void should_accept_a_peer_that_holds_the_shared_secret() {
        byte[] challenge = handshake.challenge(handshake.nonce());
        byte[] nonce = handshake.nonce();
        byte[] hello = handshake.hello(challenge, nonce, "vm-1");

        assertThat(handshake.verifyHello(challenge, hello)).isEqualTo("vm-1");
        assertThat(handshake.verifyWelcome(nonce, handshake.welcome(hello))).isTrue();
    }

    @Test
    void should_refuse_a_peer_with_another_secret_on_either_side() {
        byte[] challenge = handshake.challenge(handshake.nonce());
        byte[] nonce = handshake.nonce();
        byte[] hello = otherSecretHandshake.hello(challenge, nonce, "vm-1");

        assertThat(handshake.verifyHello(challenge, hello)).isNull();
        assertThat(handshake.verifyWelcome(nonce, otherSecretHandshake.welcome(hello)))
                .isFalse();
    }

    @Test
    void should_exchange_the_same_frames_as_earlier_builds() {
        Handshake recorded = new Handshake("a secret of the peers");
        HexFormat hex = HexFormat.of();
        byte[] challenge = hex.parseHex("01000102030405060708090a0b0c0d0e0f");
        byte[] nonce = hex.parseHex("101112131415161718191a1b1c1d1e1f");
        byte[] hello = hex.parseHex("101112131415161718191a1b1c1d1e1f"
                + "cf15a568d20d159c83c55a8847a1e9accd0ffa06c260fea6fb4d5216e96a182a766d2d31");
        byte[] welcome = hex.parseHex("7854a424ff13d560eb50e57fb3010db2ad462345fd2a7b19dbde879e89fc0463");

        assertThat(recorded.isChallenge(challenge)).isTrue();
        assertThat(recorded.challenge(Arrays.copyOfRange(challenge, 1, challenge.length)))
                .isEqualTo(challenge);
        assertThat(recorded.hello(challenge, nonce, "vm-1")).isEqualTo(hello);
        assertThat(recorded.verifyHello(challenge, hello)).isEqualTo("vm-1");
        assertThat(recorded.welcome(hello)).isEqualTo(welcome);
        assertThat(recorded.verifyWelcome(nonce, welcome)).isTrue();
    }

    @Test
    void should_refuse_a_replayed_hello_frame() {
        byte[] recorded = handshake.hello(handshake.challenge(handshake.nonce()), handshake.nonce(), "vm-1");
        assertThat(handshake.verifyHello(handshake.challenge(handshake.nonce()), recorded))
                .isNull();
    }

    @Test
    void should_refuse_another_protocol_version_and_short_frames() {
        byte[] challenge = handshake.challenge(handshake.nonce());
        challenge[0] = 2;
        assertThat(handshake.isChallenge(challenge)).isFalse();
        assertThat(handshake.isChallenge(new byte[3])).isFalse();
        assertThat(handshake.verifyHello(challenge, new byte[48])).isNull();
        assertThat(handshake.verifyHello(challenge, new byte[0])).isNull();
    }
}
