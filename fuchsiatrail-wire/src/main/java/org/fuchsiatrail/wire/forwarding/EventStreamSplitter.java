package org.fuchsiatrail.wire.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of server-sent events into whole events, so that no part of an event is passed on.
 *
 * <p>An event ends with an empty line. Lines end with a line feed, with or without a carriage return before it.
 */
final class EventStreamSplitter {

    /** The largest event; a larger one ends the stream as broken. */
    static final int LONGEST_EVENT_BYTES = 1024 * 1024;

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private int lineBytes;

    /**
     * A whole event.
     *
     * @param id its id, or an empty text
     * @param bytes the event with the empty line that ends it
     */
    record Event(String id, byte[] bytes) {}

    /** Takes bytes of the stream and returns the events that they complete. */
    List<Event> take(byte[] bytes) {
        List<Event> events = new ArrayList<>();
        for (byte each : bytes) {
            partial.write(each);
            if (each == '\n') {
                boolean emptyLine = lineBytes == 0;
                lineBytes = 0;
                if (emptyLine) {
                    events.add(event());
                }
            } else if (each != '\r') {
                lineBytes++;
            }
        }
        if (partial.size() > LONGEST_EVENT_BYTES) {
            throw new IllegalArgumentException("An event is longer than " + LONGEST_EVENT_BYTES + " bytes.");
        }
        return events;
    }

    private Event event() {
        byte[] whole = partial.toByteArray();
        partial.reset();
        String id = "";
        for (String line : new String(whole, StandardCharsets.ISO_8859_1).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                id = line.substring(ID_FIELD.length()).strip();
            }
        }
        return new Event(id, whole);
    }

    /** Tells whether the stream stands inside an event. */
    boolean inEvent() {
        return partial.size() > 0;
    }
}
