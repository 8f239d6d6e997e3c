package org.fuchsiatrail.wire.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
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

    private Optional<EventStreamSplitter.Events> append(String text) {
        return splitter.append(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(EventStreamSplitter.Events events) {
        return new String(events.bytes(), StandardCharsets.UTF_8);
    }

    @Test
    void should_return_an_event_only_when_it_is_complete() {
        assertThat(append("id: 1\ndata: half")).isEmpty();
        assertThat(splitter.hasPartialEvent()).isTrue();
        EventStreamSplitter.Events first = append(" done\n\nid: 2\n").orElseThrow();
        assertThat(first.id()).isEqualTo("1");
        assertThat(text(first)).isEqualTo("id: 1\ndata: half done\n\n");
        EventStreamSplitter.Events second = append("data: x\r\n\r\n").orElseThrow();
        assertThat(second.id()).isEqualTo("2");
        assertThat(text(second)).isEqualTo("id: 2\ndata: x\r\n\r\n");
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
            Optional<EventStreamSplitter.Events> complete =
                    splitter.append(Arrays.copyOfRange(bytes, from, from + length));
            if (complete.isPresent()) {
                String text = text(complete.get());
                returned.append(text);
                assertThat(text).startsWith("weights: 2\r\nid: ").endsWith("\n\n");
                events += text.split("\n\n").length;
                assertThat(complete.get().id()).isEqualTo(Integer.toString(events));
            }
            from += length;
        }
        assertThat(returned.toString()).isEqualTo(stream.toString());
        assertThat(events).isEqualTo(50);
    }

    @Test
    void should_not_take_empty_lines_between_events_for_events_and_return_them_unchanged() {
        assertThat(append("\n\r\n\n")).isEmpty();
        assertThat(splitter.hasPartialEvent()).isFalse();
        EventStreamSplitter.Events event = append("data: x\n\n\n").orElseThrow();
        assertThat(text(event)).isEqualTo("\n\r\n\ndata: x\n\n");
        assertThat(splitter.hasPartialEvent()).isFalse();
        assertThat(splitter.emptyLinesAtEnd()).containsExactly('\n');
    }

    @Test
    void should_return_the_last_id_of_several_events() {
        EventStreamSplitter.Events events =
                append("id: 1\ndata: x\n\nid: 2\n\n: no id\n\nid: 3").orElseThrow();
        assertThat(events.id()).isEqualTo("2");
        assertThat(text(events)).endsWith(": no id\n\n");
    }

    @Test
    void should_refuse_empty_lines_without_end() {
        byte[] endless =
                "\n".repeat(EventStreamSplitter.MAXIMUM_EVENT_BYTES + 1).getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> splitter.append(endless)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void should_refuse_an_event_that_exceeds_the_size_limit() {
        byte[] endless = new byte[EventStreamSplitter.MAXIMUM_EVENT_BYTES + 1];
        assertThatThrownBy(() -> splitter.append(endless)).isInstanceOf(IllegalArgumentException.class);
    }
}
