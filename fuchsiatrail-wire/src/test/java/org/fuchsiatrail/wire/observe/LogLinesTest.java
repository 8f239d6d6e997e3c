package org.fuchsiatrail.wire.observe;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against texts of other programs that fill the log or forge lines in it. */
class LogLinesTest {

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();

    @BeforeEach
    void directToBuffer() {
        LogLines.install("info", new PrintStream(log, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void directToStandardOutput() {
        LogLines.install("info");
    }

    private String logged() {
        LogLines.flush();
        return log.toString(StandardCharsets.UTF_8);
    }

    @Test
    void should_shorten_long_texts() throws Exception {
        LogLines.info("store", "Unreadable store item ignored.", Map.of("key", "k".repeat(1_000_000), "revision", 7L));
        JsonNode line = new ObjectMapper().readTree(logged());
        assertThat(line.get("key").asText())
                .startsWith("kkk")
                .endsWith("k... (1000000 characters)")
                .hasSizeLessThan(1_100);
        assertThat(line.get("revision").asLong()).isEqualTo(7);
    }

    @Test
    void should_shorten_the_text_of_an_exception() {
        LogLines.error("router", "Tick failed.", new IllegalStateException("x".repeat(100_000)));
        assertThat(logged()).hasSizeLessThan(2_000);
    }

    @Test
    void should_write_one_line_whatever_a_text_contains() {
        LogLines.info(
                "store", "Unreadable store item ignored.", Map.of("key", "a\n{\"part\":\"forged\"}\r\n\u0000\ud800"));
        assertThat(logged().lines()).hasSize(1);
    }
}
