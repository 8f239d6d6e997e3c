package org.fuchsiatrail.wire.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events between complete events, so that callers never receive a part of an event.
 *
 * <p>Lines end with LF or CRLF. An event ends with the first empty line after a line that is not empty; empty lines
 * before that belong to the next event.
 */
final class EventStreamSplitter {

    /** The maximum size of an event, in bytes; a larger event is an error of the stream. */
    static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private static final int INITIAL_CAPACITY = 1024;

    /** The bytes that were not returned, from the end of the last complete event on. */
    private byte[] pending = new byte[INITIAL_CAPACITY];

    private int pendingBytes;
    /** The beginning of the line that is not complete, in the pending bytes. */
    private int lineStart;
    /** Whether the event that is not complete has a line that is not empty. */
    private boolean insideEvent;
    /** The id of the event that is not complete, or an empty string. */
    private String idInEvent = "";

    /**
     * One or more complete events.
     *
     * @param id the id of the last event with an id, or an empty string
     * @param bytes the bytes of the events, including the empty line that ends the last one
     */
    record Events(String id, byte[] bytes) {}

    /**
     * Appends bytes of the stream.
     *
     * @param bytes the next bytes of the stream
     * @return the events that these bytes complete, or empty if they complete none
     * @throws IllegalArgumentException if the incomplete event at the end exceeds {@link #MAXIMUM_EVENT_BYTES}
     */
    Optional<Events> append(byte[] bytes) {
        int scanFrom = pendingBytes;
        reserve(bytes.length);
        System.arraycopy(bytes, 0, pending, pendingBytes, bytes.length);
        pendingBytes += bytes.length;
        int completeBytes = 0;
        String lastId = "";
        for (int index = scanFrom; index < pendingBytes; index++) {
            if (pending[index] != '\n') {
                continue;
            }
            if (!isEmptyLine(index)) {
                insideEvent = true;
                readId(index);
            } else if (insideEvent) {
                completeBytes = index + 1;
                lastId = idInEvent.isEmpty() ? lastId : idInEvent;
                insideEvent = false;
                idInEvent = "";
            }
            lineStart = index + 1;
        }
        Optional<Events> complete =
                completeBytes == 0 ? Optional.empty() : Optional.of(new Events(lastId, take(completeBytes)));
        if (pendingBytes > MAXIMUM_EVENT_BYTES) {
            throw new IllegalArgumentException("An event is longer than " + MAXIMUM_EVENT_BYTES + " bytes.");
        }
        return complete;
    }

    private void reserve(int bytes) {
        if (pendingBytes + bytes > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(2 * pending.length, pendingBytes + bytes));
        }
    }

    private boolean isEmptyLine(int lineEnd) {
        for (int index = lineStart; index < lineEnd; index++) {
            if (pending[index] != '\r') {
                return false;
            }
        }
        return true;
    }

    private void readId(int lineEnd) {
        int valueStart = lineStart + ID_FIELD.length;
        if (valueStart <= lineEnd && Arrays.equals(pending, lineStart, valueStart, ID_FIELD, 0, ID_FIELD.length)) {
            idInEvent = new String(pending, valueStart, lineEnd - valueStart, StandardCharsets.ISO_8859_1).strip();
        }
    }

    /** Removes bytes from the beginning of the pending ones and returns them. */
    private byte[] take(int bytes) {
        byte[] taken = Arrays.copyOf(pending, bytes);
        pendingBytes -= bytes;
        lineStart -= bytes;
        pending = Arrays.copyOfRange(pending, bytes, bytes + Math.max(INITIAL_CAPACITY, pendingBytes));
        return taken;
    }

    /** Returns whether the bytes so far end inside an event. */
    boolean hasPartialEvent() {
        return insideEvent || lineStart < pendingBytes;
    }

    /** Returns the empty lines after the last event, once the stream has ended. */
    byte[] emptyLinesAtEnd() {
        return Arrays.copyOf(pending, pendingBytes);
    }
}
