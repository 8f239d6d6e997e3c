package org.fuchsiatrail.internal.forwarding;

import java.util.AbstractList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.ForwardedCall;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.OrderReply;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.StoreReply;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that are lost because something else in the same tick throws. */
class RequestLostBesideFailedInputTest {

    private static final RequestId POISONED = new RequestId("poisoned");
    private static final AttemptEvent.Head SOUND_HEAD =
            AttemptEvent.Head.builder(200).verified(true).build();
    private static final UpstreamId SERVICE = new UpstreamId("service-1");

    private final ForwardingFixture fixture = new ForwardingFixture().configured();

    /** The parts of a prompt that can be read until the list is poisoned. */
    private static final class PoisonedPrompt extends AbstractList<ForwardedCall.PromptPart> {
        private boolean poisoned;

        @Override
        public ForwardedCall.PromptPart get(int index) {
            if (poisoned) {
                throw new IllegalStateException("thrown by the test");
            }
            return new ForwardedCall.PromptPart("part " + index, 100);
        }

        @Override
        public int size() {
            return 3;
        }
    }

    private static ForwardedCall call(String path, List<ForwardedCall.PromptPart> prompt) {
        return new ForwardedCall(
                "caller-1",
                ForwardingFixture.HOST,
                path,
                ForwardingFixture.KEY,
                3_000,
                ForwardingFixture.MODEL,
                300,
                10,
                prompt,
                "",
                "",
                Optional.empty(),
                1);
    }

    private static ForwardingInput received(String request, String path) {
        return new ForwardingInput.CallReceived(new RequestId(request), call(path, List.of()));
    }

    @BeforeEach
    void expectFailures() {
        fixture.failuresExpected = true;
        fixture.register(fixture.recordService(SERVICE.value()));
    }

    private <T extends ForwardingOutput> List<T> outputs(Class<T> type) {
        return fixture.outputs.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private List<String> sentRequests() {
        return outputs(ForwardingOutput.Send.class).stream()
                .map(send -> send.request().value())
                .toList();
    }

    static Stream<ForwardingInput> inputsThatThrow() {
        return Stream.of(
                new ForwardingInput.CallReceived(POISONED, null),
                new ForwardingInput.CallReceived(POISONED, call("/read/1", null)),
                new ForwardingInput.OrderAnswered(SERVICE, new OrderReply.State(false, 1, null)),
                new ForwardingInput.PeerMessageReceived(new EntryVmId("vm-2"), null),
                new ForwardingInput.StoreItemRelayed(null),
                new ForwardingInput.StoreItemRelayed(
                        new StoreItem("servers/other", 900, new byte[] {1}, new StoreItemContent.Upstream(null))));
    }

    @ParameterizedTest
    @MethodSource("inputsThatThrow")
    void should_handle_all_other_inputs_of_a_tick_when_one_throws(ForwardingInput poisoned) {
        fixture.start();
        fixture.outputs.clear();
        fixture.tick(received("before", "/read/1"), poisoned, received("after", "/issue/1"));
        assertThat(sentRequests()).containsExactly("before", "after");
        assertThat(outputs(ForwardingOutput.InputFailed.class)).singleElement().satisfies(failed -> {
            assertThat(failed.input()).isSameAs(poisoned);
            assertThat(failed.cause()).isInstanceOf(RuntimeException.class);
        });
    }

    static Stream<AttemptEvent> eventsThatThrow() {
        AttemptEvent.Head headWithoutLoad =
                new AttemptEvent.Head(200, true, false, null, null, null, null, false, false, false, null, null);
        return Stream.of(
                new AttemptEvent.Answered(null),
                new AttemptEvent.Answered(headWithoutLoad),
                new AttemptEvent.Started(null, ""),
                new AttemptEvent.Lost(true, true, null, "lost"));
    }

    @ParameterizedTest
    @MethodSource("eventsThatThrow")
    void should_report_the_attempt_whose_event_throws_and_deliver_the_answer_behind_it(AttemptEvent poisoned) {
        fixture.start();
        fixture.tick(received("first", "/issue/1"), received("second", "/issue/2"));
        List<ForwardingOutput.Send> sends = outputs(ForwardingOutput.Send.class);
        fixture.outputs.clear();
        ForwardingInput failing =
                new ForwardingInput.AttemptEventReceived(sends.get(0).attempt(), poisoned);
        fixture.tick(
                failing,
                new ForwardingInput.AttemptEventReceived(
                        sends.get(1).attempt(), new AttemptEvent.Answered(SOUND_HEAD)));
        assertThat(outputs(ForwardingOutput.InputFailed.class))
                .singleElement()
                .satisfies(failed -> assertThat(failed.input()).isSameAs(failing));
        assertThat(outputs(ForwardingOutput.Deliver.class))
                .singleElement()
                .satisfies(deliver -> assertThat(deliver.request().value()).isEqualTo("second"));
    }

    /** The timers of several requests are due in one tick; that of the poisoned request is the first. */
    @Test
    void should_serve_other_requests_that_wait_when_the_timer_of_one_throws() {
        fixture.start();
        PoisonedPrompt prompt = new PoisonedPrompt();
        fixture.tick(
                new ForwardingInput.CallReceived(POISONED, call("/mark/1", prompt)),
                new ForwardingInput.CallReceived(new RequestId("waiting"), call("/mark/2", List.of())));
        assertThat(sentRequests()).isEmpty();
        prompt.poisoned = true;
        fixture.register(fixture.engine("engine-1", 1));
        fixture.advanceTime(500);
        assertThat(sentRequests()).containsExactly("waiting");
        assertThat(outputs(ForwardingOutput.SystemFailed.class))
                .singleElement()
                .satisfies(failed -> assertThat(failed.request()).contains(POISONED));
    }

    /** Requests that arrive before the configuration is known are processed together once it is. */
    @Test
    void should_serve_the_requests_queued_since_the_start_when_one_of_them_throws() {
        fixture.storeAnswers = false;
        fixture.start();
        PoisonedPrompt prompt = new PoisonedPrompt();
        prompt.poisoned = true;
        fixture.tick(
                received("before", "/read/1"),
                new ForwardingInput.CallReceived(POISONED, call("/read/2", prompt)),
                received("after", "/read/3"));
        fixture.storeAnswers = true;
        fixture.items.forEach(item -> fixture.tick(new ForwardingInput.StoreItemRelayed(item)));
        fixture.advanceTime(200);
        assertThat(sentRequests()).containsExactly("before", "after");
        assertThat(outputs(ForwardingOutput.SystemFailed.class))
                .singleElement()
                .satisfies(failed -> assertThat(failed.request()).contains(POISONED));
    }

    /** A router that does not ask the store again would keep its configuration for ever. */
    @Test
    void should_follow_the_store_when_one_of_its_items_throws() {
        fixture.start();
        fixture.put("servers/other", new StoreItemContent.Upstream(null));
        fixture.put("configuration", new StoreItemContent.Routing(ForwardingFixture.table(2)));
        fixture.advanceTime(500);
        assertThat(fixture.core.routing()).map(table -> table.version()).contains(2L);
        assertThat(outputs(ForwardingOutput.SystemFailed.class)).hasSize(1);
    }

    @Test
    void should_start_when_one_of_the_items_of_the_store_throws() {
        fixture.put("a", new StoreItemContent.Upstream(null));
        fixture.items.addFirst(fixture.items.removeLast());
        fixture.start();
        fixture.advanceTime(500);
        assertThat(fixture.core.routing()).map(table -> table.version()).contains(1L);
        assertThat(outputs(ForwardingOutput.SystemFailed.class)).hasSize(1);
    }

    /** A reply that was consumed without effect would be waited for without end. */
    @Test
    void should_call_the_store_again_when_its_reply_throws() {
        fixture.storeAnswers = false;
        fixture.start();
        ForwardingOutput.CallStore read =
                outputs(ForwardingOutput.CallStore.class).getFirst();
        fixture.storeAnswers = true;
        fixture.tick(new ForwardingInput.StoreAnswered(read.call(), new StoreReply.Page(null, false, 1)));
        fixture.advanceTime(1_000);
        assertThat(fixture.core.routing()).isPresent();
        assertThat(outputs(ForwardingOutput.InputFailed.class)).hasSize(1);
    }

    /** What the other parts of the core do does not depend on the part that throws. */
    @Test
    void should_answer_requests_while_a_part_of_the_core_throws_in_each_tick() {
        fixture.start();
        fixture.put("members/poisoned", new StoreItemContent.Member(null, "", true, true));
        fixture.advanceTime(2_000);
        fixture.tick(received("request", "/read/1"));
        ForwardingOutput.Send send = outputs(ForwardingOutput.Send.class).getFirst();
        fixture.tick(new ForwardingInput.AttemptEventReceived(send.attempt(), new AttemptEvent.Answered(SOUND_HEAD)));
        assertThat(outputs(ForwardingOutput.Deliver.class)).hasSize(1);
        assertThat(outputs(ForwardingOutput.SystemFailed.class)).isNotEmpty();
    }

    @Test
    void should_not_take_an_error_for_anything_but_a_failed_input() {
        fixture.start();
        List<ForwardedCall.PromptPart> exhausting = new AbstractList<>() {
            @Override
            public ForwardedCall.PromptPart get(int index) {
                throw new StackOverflowError("thrown by the test");
            }

            @Override
            public int size() {
                return 2;
            }
        };
        fixture.tick(
                new ForwardingInput.CallReceived(POISONED, call("/read/1", exhausting)), received("after", "/read/2"));
        assertThat(sentRequests()).containsExactly("after");
        assertThat(outputs(ForwardingOutput.InputFailed.class)).hasSize(1);
    }
}
