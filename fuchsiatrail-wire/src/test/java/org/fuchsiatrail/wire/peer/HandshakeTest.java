package org.fuchsiatrail.wire.peer;

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
