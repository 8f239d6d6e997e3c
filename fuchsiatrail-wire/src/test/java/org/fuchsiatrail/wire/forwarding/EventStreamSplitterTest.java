package org.fuchsiatrail.wire.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class EventStreamSplitterTest {

    private final EventStreamSplitter splitter = new EventStreamSplitter();

    private List<EventStreamSplitter.Event> take(String text) {
        return splitter.take(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void should_hold_back_an_event_until_it_is_whole() {
        assertThat(take("id: 1\ndata: half")).isEmpty();
        assertThat(splitter.inEvent()).isTrue();
        assertThat(take(" done\n\nid: 2\n"))
                .extracting(EventStreamSplitter.Event::id)
                .containsExactly("1");
        assertThat(take("data: x\r\n\r\n"))
                .extracting(EventStreamSplitter.Event::id)
                .containsExactly("2");
        assertThat(splitter.inEvent()).isFalse();
    }

    @Test
    void should_return_every_byte_however_the_stream_is_cut() {
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
        StringBuilder passed = new StringBuilder();
        int events = 0;
        for (int from = 0; from < bytes.length; ) {
            int length = Math.min(bytes.length - from, 1 + random.nextInt(40));
            for (EventStreamSplitter.Event event : splitter.take(Arrays.copyOfRange(bytes, from, from + length))) {
                passed.append(new String(event.bytes(), StandardCharsets.UTF_8));
                events++;
                assertThat(event.id()).isEqualTo(Integer.toString(events));
            }
            from += length;
        }
        assertThat(passed.toString()).isEqualTo(stream.toString());
        assertThat(events).isEqualTo(50);
    }

    @Test
    void should_refuse_an_event_without_end() {
        byte[] endless = new byte[EventStreamSplitter.LONGEST_EVENT_BYTES + 1];
        assertThatThrownBy(() -> splitter.take(endless)).isInstanceOf(IllegalArgumentException.class);
    }
}
