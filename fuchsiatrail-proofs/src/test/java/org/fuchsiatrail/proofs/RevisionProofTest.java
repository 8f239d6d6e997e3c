package org.fuchsiatrail.proofs;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Promise 9 of docs/PROOFS.md: an older or damaged configuration never replaces a newer one.
 *
 * <p>Guards against peers that send an older document, also under a higher revision number than the document contains.
 */
class RevisionProofTest {

    private byte[] storedConfiguration(Fixture fixture) {
        List<StoreResult> results = new ArrayList<>();
        fixture.deployment
                .store()
                .call(fixture.deployment.now(), new StoreRequest.Read("fuchsiatrail/configuration"), results::add);
        return ((StoreResult.Found) results.get(0)).value();
    }

    @Test
    void should_ignore_an_older_configuration_even_when_a_peer_labels_it_as_newer() {
        Fixture fixture = Fixture.started(1);
        byte[] olderConfiguration = storedConfiguration(fixture);
        fixture.deployment.planAndConfirm(fixture.router(1), Fixture.intent(List.of(1), Fixture.TUTOR_V1));
        EntryVmId peer = new EntryVmId("vm-2");
        fixture.deployment.inject(
                fixture.router(1),
                List.of(
                        new Input.PeerSpoke(peer, new PeerMessage.TellConfiguration(1, olderConfiguration)),
                        new Input.PeerSpoke(peer, new PeerMessage.TellConfiguration(99, olderConfiguration))));
        long show = fixture.deployment.sendOperatorRequest(fixture.router(1), new OperatorRequest.Show());
        fixture.deployment.run(20);

        assertThat(fixture.deployment.operatorAnswer(show))
                .isInstanceOfSatisfying(
                        OperatorAnswer.Shown.class,
                        shown -> assertThat(shown.revision()).isEqualTo(2));
    }

    @Test
    void should_keep_the_configuration_when_a_peer_sends_a_damaged_one() {
        Fixture fixture = Fixture.started(2);
        byte[] damaged = new byte[] {1, 2, 3};
        fixture.deployment.inject(
                fixture.router(1),
                List.of(new Input.PeerSpoke(new EntryVmId("vm-2"), new PeerMessage.TellConfiguration(99, damaged))));
        long show = fixture.deployment.sendOperatorRequest(fixture.router(1), new OperatorRequest.Show());
        fixture.deployment.run(20);

        assertThat(fixture.deployment.operatorAnswer(show))
                .isInstanceOfSatisfying(
                        OperatorAnswer.Shown.class,
                        shown -> assertThat(shown.revision()).isEqualTo(1));
        assertThat(fixture.deployment.counter("configuration.damaged")).isEqualTo(1);
    }
}
