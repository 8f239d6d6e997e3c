package org.fuchsiatrail.wire.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against callers that receive a part of an event, or events with missing or altered bytes. This happens if the
 * boundaries of network reads, which fall anywhere in the stream, are taken for boundaries of events.
 */
class EventStreamSplitterTest {

    private final EventStreamSplitter splitter = new EventStreamSplitter();

    private List<EventStreamSplitter.Event> append(String text) {
        return splitter.append(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void should_return_an_event_only_when_it_is_complete() {
        assertThat(append("id: 1\ndata: half")).isEmpty();
        assertThat(splitter.hasPartialEvent()).isTrue();
        assertThat(append(" done\n\nid: 2\n"))
                .extracting(EventStreamSplitter.Event::id)
                .containsExactly("1");
        assertThat(append("data: x\r\n\r\n"))
                .extracting(EventStreamSplitter.Event::id)
                .containsExactly("2");
        assertThat(splitter.hasPartialEvent()).isFalse();
    }

    @Test
    void should_return_every_byte_for_any_split_of_the_stream() {
        StringBuilder stream = new StringBuilder();
        for (int id = 1; id <= 50; id++) {
            stream.append("weights: 2\r\nid: ")
                    .append(id)
                    .append("\ndata: grüße ")
                    .append(id)
                    .append("\n\n");
        }
        byte[] bytes = stream.toString().getBytes(StandardCharsets.UTF_8);
        SplittableRandom random = new SplittableRandom(11);
        StringBuilder returned = new StringBuilder();
        int events = 0;
        for (int from = 0; from < bytes.length; ) {
            int length = Math.min(bytes.length - from, 1 + random.nextInt(40));
            for (EventStreamSplitter.Event event : splitter.append(Arrays.copyOfRange(bytes, from, from + length))) {
                returned.append(new String(event.bytes(), StandardCharsets.UTF_8));
                events++;
                assertThat(event.id()).isEqualTo(Integer.toString(events));
            }
            from += length;
        }
        assertThat(returned.toString()).isEqualTo(stream.toString());
        assertThat(events).isEqualTo(50);
    }

    @Test
    void should_refuse_an_event_that_exceeds_the_size_limit() {
        byte[] endless = new byte[EventStreamSplitter.MAXIMUM_EVENT_BYTES + 1];
        assertThatThrownBy(() -> splitter.append(endless)).isInstanceOf(IllegalArgumentException.class);
    }
}
