package org.fuchsiatrail.wire.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of server-sent events into complete events, so that callers never receive a part of an event.
 *
 * <p>An event ends with an empty line. Lines end with LF or CRLF.
 */
final class EventStreamSplitter {

    /** The maximum size of an event, in bytes; a larger event is an error of the stream. */
    static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private int lineBytes;

    /**
     * A complete event.
     *
     * @param id the event's id, or an empty string
     * @param bytes the bytes of the event, including the empty line that ends it
     */
    record Event(String id, byte[] bytes) {}

    /**
     * Appends bytes of the stream.
     *
     * @param bytes the next bytes of the stream
     * @return the events that these bytes complete, in order
     * @throws IllegalArgumentException if the incomplete event at the end exceeds {@link #MAXIMUM_EVENT_BYTES}
     */
    List<Event> append(byte[] bytes) {
        List<Event> events = new ArrayList<>();
        for (byte value : bytes) {
            partial.write(value);
            if (value == '\n') {
                boolean emptyLine = lineBytes == 0;
                lineBytes = 0;
                if (emptyLine) {
                    events.add(completeEvent());
                }
            } else if (value != '\r') {
                lineBytes++;
            }
        }
        if (partial.size() > MAXIMUM_EVENT_BYTES) {
            throw new IllegalArgumentException("An event is longer than " + MAXIMUM_EVENT_BYTES + " bytes.");
        }
        return events;
    }

    private Event completeEvent() {
        byte[] eventBytes = partial.toByteArray();
        partial.reset();
        String id = "";
        for (String line : new String(eventBytes, StandardCharsets.ISO_8859_1).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                id = line.substring(ID_FIELD.length()).strip();
            }
        }
        return new Event(id, eventBytes);
    }

    /** Returns whether the bytes so far end inside an event. */
    boolean hasPartialEvent() {
        return partial.size() > 0;
    }
}
