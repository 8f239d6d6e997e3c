package org.fuchsiatrail.wire.observe;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a router that blocks because the reader of its log does not read, and against log lines that a JSON
 * parser cannot read.
 */
class BoundedLineWriterTest {

    @Test
    void should_drop_and_count_lines_instead_of_blocking_on_a_stalled_reader() {
        CountDownLatch neverReleased = new CountDownLatch(1);
        OutputStream stalledStream = new OutputStream() {
            @Override
            public void write(int value) {
                try {
                    neverReleased.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        BoundedLineWriter writer = BoundedLineWriter.start(new PrintStream(stalledStream), 10);
        for (int line = 0; line < 1_000; line++) {
            writer.write("line\n");
        }
        assertThat(writer.dropped()).isBetween(900L, 990L);
    }

    @Test
    void should_write_one_json_object_per_line_with_its_fields() throws Exception {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        LogLines.install("info", new PrintStream(written, true));
        LogLines.info("calls", "Sent.", Map.of("request", "a \"quoted\"\nid", "sends", 2, "late", false));
        LogLines.flush();
        JsonNode line = new ObjectMapper().readTree(written.toString(StandardCharsets.UTF_8));
        assertThat(line.get("part").asText()).isEqualTo("calls");
        assertThat(line.get("message").asText()).isEqualTo("Sent.");
        assertThat(line.get("request").asText()).isEqualTo("a \"quoted\"\nid");
        assertThat(line.get("sends").asInt()).isEqualTo(2);
        assertThat(line.get("late").asBoolean()).isFalse();
        assertThat(line.get("time").asText()).isNotBlank();
    }
}
