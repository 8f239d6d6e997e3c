package org.fuchsiatrail.wire.peer;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a connection with a peer that does not hold the shared secret, replays a recorded hello frame or uses
 * another protocol version.
 */
class HandshakeTest {

    private final Handshake ours = new Handshake("the shared secret");
    private final Handshake stranger = new Handshake("another secret");

    @Test
    void should_accept_a_peer_that_holds_the_shared_secret() {
        byte[] challenge = ours.challenge(ours.nonce());
        byte[] nonce = ours.nonce();
        byte[] hello = ours.hello(challenge, nonce, "vm-1");

        assertThat(ours.verifyHello(challenge, hello)).isEqualTo("vm-1");
        assertThat(ours.verifyWelcome(nonce, ours.welcome(hello))).isTrue();
    }

    @Test
    void should_refuse_a_peer_with_another_secret_on_either_side() {
        byte[] challenge = ours.challenge(ours.nonce());
        byte[] nonce = ours.nonce();
        byte[] hello = stranger.hello(challenge, nonce, "vm-1");

        assertThat(ours.verifyHello(challenge, hello)).isNull();
        assertThat(ours.verifyWelcome(nonce, stranger.welcome(hello))).isFalse();
    }

    @Test
    void should_refuse_a_replayed_hello_frame() {
        byte[] recorded = ours.hello(ours.challenge(ours.nonce()), ours.nonce(), "vm-1");
        assertThat(ours.verifyHello(ours.challenge(ours.nonce()), recorded)).isNull();
    }

    @Test
    void should_refuse_another_protocol_version_and_short_frames() {
        byte[] challenge = ours.challenge(ours.nonce());
        challenge[0] = 2;
        assertThat(ours.isChallenge(challenge)).isFalse();
        assertThat(ours.isChallenge(new byte[3])).isFalse();
        assertThat(ours.verifyHello(challenge, new byte[48])).isNull();
        assertThat(ours.verifyHello(challenge, new byte[0])).isNull();
    }
}
