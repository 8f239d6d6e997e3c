package org.fuchsiatrail.internal.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.zip.GZIPOutputStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against a damaged document that is not reported as one. */
class DocumentsTest {

    private static byte[] compressed(String text) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream stream = new GZIPOutputStream(bytes)) {
            stream.write(text.getBytes(StandardCharsets.UTF_8));
        }
        return bytes.toByteArray();
    }

    @Test
    void should_read_what_it_wrote() {
        assertThat(Documents.read(Documents.write(Map.of("a", 1)), Map.class)).isEqualTo(Map.of("a", 1));
    }

    @ParameterizedTest
    @ValueSource(strings = {"null", "", "7", "[]", "{\"a\":"})
    void should_refuse_a_damaged_document(String text) throws IOException {
        byte[] value = compressed(text);
        assertThatThrownBy(() -> Documents.read(value, Map.class)).isInstanceOf(UncheckedIOException.class);
    }

    @Test
    void should_refuse_bytes_that_are_not_compressed() {
        assertThatThrownBy(() -> Documents.read(new byte[] {1, 2, 3}, Map.class))
                .isInstanceOf(UncheckedIOException.class);
        assertThatThrownBy(() -> Documents.read(new byte[0], Map.class)).isInstanceOf(UncheckedIOException.class);
    }
}
