package org.fuchsiatrail.internal.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/** Writes and reads the values that the platform's store keeps: compressed JSON. */
public final class Documents {

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true);

    /** The most bytes that a value may unpack to; a larger one is refused as unreadable. */
    private static final int LARGEST_UNPACKED_BYTES = 64 * 1024 * 1024;

    private Documents() {}

    /**
     * Writes a document.
     *
     * @param document the document
     * @return its stored form
     */
    public static byte[] write(Object document) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            try (GZIPOutputStream packed = new GZIPOutputStream(bytes)) {
                packed.write(MAPPER.writeValueAsBytes(document));
            }
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads a document.
     *
     * @param value the stored form
     * @param type the type of the document
     * @param <T> the type of the document
     * @return the document
     * @throws UncheckedIOException when the value is damaged
     */
    public static <T> T read(byte[] value, Class<T> type) {
        try (GZIPInputStream unpacked = new GZIPInputStream(new ByteArrayInputStream(value))) {
            return MAPPER.readValue(unpacked.readNBytes(LARGEST_UNPACKED_BYTES), type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes a document in its plain form, the same for equal documents.
     *
     * @param document the document
     * @return JSON
     */
    public static byte[] plain(Object document) {
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
