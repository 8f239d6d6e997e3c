package org.fuchsiatrail.wire.peer;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HandshakeTest {

    private final Handshake ours = new Handshake("the shared secret");
    private final Handshake stranger = new Handshake("another secret");

    @Test
    void should_let_in_a_peer_that_holds_the_secret() {
        byte[] challenge = ours.challenge(ours.nonce());
        byte[] nonce = ours.nonce();
        byte[] hello = ours.hello(challenge, nonce, "vm-1");

        assertThat(ours.checkHello(challenge, hello)).isEqualTo("vm-1");
        assertThat(ours.checkWelcome(nonce, ours.welcome(hello))).isTrue();
    }

    @Test
    void should_refuse_a_peer_without_the_secret_on_either_side() {
        byte[] challenge = ours.challenge(ours.nonce());
        byte[] nonce = ours.nonce();
        byte[] hello = stranger.hello(challenge, nonce, "vm-1");

        assertThat(ours.checkHello(challenge, hello)).isNull();
        assertThat(ours.checkWelcome(nonce, stranger.welcome(hello))).isFalse();
    }

    @Test
    void should_refuse_a_hello_that_was_recorded_earlier() {
        byte[] recorded = ours.hello(ours.challenge(ours.nonce()), ours.nonce(), "vm-1");
        assertThat(ours.checkHello(ours.challenge(ours.nonce()), recorded)).isNull();
    }

    @Test
    void should_refuse_another_version_and_short_frames() {
        byte[] challenge = ours.challenge(ours.nonce());
        challenge[0] = 2;
        assertThat(ours.isChallenge(challenge)).isFalse();
        assertThat(ours.isChallenge(new byte[3])).isFalse();
        assertThat(ours.checkHello(challenge, new byte[48])).isNull();
        assertThat(ours.checkHello(challenge, new byte[0])).isNull();
    }
}
