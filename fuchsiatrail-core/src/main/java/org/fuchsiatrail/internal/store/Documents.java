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

/** Serializes and parses documents kept in the platform's store, as gzip-compressed JSON. */
public final class Documents {

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true);

    /** The maximum size of a decompressed value; a larger value is truncated and therefore rejected as damaged. */
    private static final int MAXIMUM_DECOMPRESSED_BYTES = 64 * 1024 * 1024;

    private Documents() {}

    /**
     * Serializes a document.
     *
     * @param document the document
     * @return the stored form
     */
    public static byte[] write(Object document) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
                compressed.write(MAPPER.writeValueAsBytes(document));
            }
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses a document.
     *
     * @param value the stored form
     * @param type the class of the document
     * @param <T> the type of the document
     * @return the document
     * @throws UncheckedIOException when the value is damaged
     */
    public static <T> T read(byte[] value, Class<T> type) {
        try (GZIPInputStream decompressed = new GZIPInputStream(new ByteArrayInputStream(value))) {
            T document = MAPPER.readValue(decompressed.readNBytes(MAXIMUM_DECOMPRESSED_BYTES), type);
            if (document == null) {
                throw new IOException("The document is null.");
            }
            return document;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Serializes a document as uncompressed JSON that is identical for equal documents.
     *
     * @param document the document
     * @return the JSON text in UTF-8
     */
    public static byte[] canonicalJson(Object document) {
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
