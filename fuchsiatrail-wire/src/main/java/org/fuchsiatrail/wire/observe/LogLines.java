package org.fuchsiatrail.wire.observe;

import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.flogger.FluentLogger;

/**
 * Writes the log: one JSON object per line, with the time, the level, the component that logs (JSON field
 * {@code part}), a message, and the fields of the event.
 */
public final class LogLines {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final JsonFactory JSON = new JsonFactory();

    /** The capacity of the queue to the writer thread: one second of the highest log rate of a router. */
    private static final int MAXIMUM_QUEUED_LINES = 8_192;

    /** The longest text of a field, in characters; texts may come from other programs. */
    private static final int MAXIMUM_TEXT_LENGTH = 1_000;

    /** The longest time for which a flush waits for a slow reader of the log, in milliseconds. */
    private static final long FLUSH_TIMEOUT_MILLIS = 2_000;

    private static volatile BoundedLineWriter writer;

    private LogLines() {}

    /**
     * Directs the log to standard output. Logging never blocks on a slow reader; lines are dropped instead.
     *
     * @param level the least severe level to log: error, warning, info or debug; any other value means info
     */
    public static void install(String level) {
        install(level, System.out);
    }

    /**
     * Directs the log to a stream. Logging never blocks on a slow reader; lines are dropped instead.
     *
     * @param level the least severe level to log: error, warning, info or debug; any other value means info
     * @param stream the stream to write to
     */
    public static void install(String level, PrintStream stream) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Level threshold = parseLevel(level);
        writer = BoundedLineWriter.start(stream, MAXIMUM_QUEUED_LINES);
        Handler handler = new QueueHandler(writer);
        handler.setLevel(threshold);
        handler.setFormatter(new LineFormatter());
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        Logger.getLogger("org.fuchsiatrail").setLevel(threshold);
    }

    private static Level parseLevel(String name) {
        return switch (name) {
            case "error" -> Level.SEVERE;
            case "warning" -> Level.WARNING;
            case "debug" -> Level.FINE;
            default -> Level.INFO;
        };
    }

    /**
     * Returns how many lines were dropped because the reader of the log was too slow.
     *
     * @return a count
     */
    public static long droppedLines() {
        BoundedLineWriter current = writer;
        return current == null ? 0 : current.dropped();
    }

    /**
     * Waits until all lines logged so far are written, for two seconds at most; to be called before the process exits.
     * Lines that a slow reader has not taken by then are counted as dropped.
     */
    public static void flush() {
        flush(FLUSH_TIMEOUT_MILLIS);
    }

    /**
     * Waits until all lines logged so far are written, for two seconds at most.
     *
     * @param timeoutMillis the longest time to wait if that is shorter, in milliseconds
     */
    public static void flush(long timeoutMillis) {
        BoundedLineWriter current = writer;
        if (current != null) {
            current.flush(Math.clamp(timeoutMillis, 0, FLUSH_TIMEOUT_MILLIS));
        }
    }

    /**
     * Logs an event at the level info.
     *
     * @param component the component that logs
     * @param message a short sentence that names the event
     * @param fields the fields of the event
     */
    public static void info(String component, String message, Map<String, Object> fields) {
        LOGGER.atInfo().log("%s", new Line(component, message, fields, null));
    }

    /**
     * Logs an error.
     *
     * @param component the component that logs
     * @param message a short sentence that names the error
     * @param cause the exception; its text and the top of its stack trace are logged
     */
    public static void error(String component, String message, Throwable cause) {
        error(component, message, Map.of(), cause);
    }

    /**
     * Logs an error with the fields of the event that it ended.
     *
     * @param component the component that logs
     * @param message a short sentence that names the error
     * @param fields the fields of the event
     * @param cause the exception; its text and the top of its stack trace are logged
     */
    public static void error(String component, String message, Map<String, Object> fields, Throwable cause) {
        LOGGER.atSevere().log("%s", new Line(component, message, fields, cause));
    }

    /** A log event, converted to JSON only if its level is enabled. */
    private record Line(String component, String message, Map<String, Object> fields, Throwable cause) {
        @Override
        public String toString() {
            StringWriter text = new StringWriter();
            try (JsonGenerator json = JSON.createGenerator(text)) {
                json.writeStartObject();
                json.writeStringField("part", component);
                json.writeStringField("message", message);
                for (Map.Entry<String, Object> field : fields.entrySet()) {
                    writeField(json, field.getKey(), field.getValue());
                }
                if (cause != null) {
                    json.writeStringField("cause", shorten(cause.toString()));
                    StackTraceElement[] trace = cause.getStackTrace();
                    json.writeStringField("at", trace.length == 0 ? "" : trace[0].toString());
                }
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return text.toString();
        }

        private static void writeField(JsonGenerator json, String name, Object value) throws IOException {
            if (value instanceof Long || value instanceof Integer) {
                json.writeNumberField(name, ((Number) value).longValue());
            } else if (value instanceof Number number) {
                json.writeNumberField(name, number.doubleValue());
            } else if (value instanceof Boolean flag) {
                json.writeBooleanField(name, flag);
            } else {
                json.writeStringField(name, shorten(String.valueOf(value)));
            }
        }

        private static String shorten(String text) {
            return text.length() <= MAXIMUM_TEXT_LENGTH
                    ? text
                    : text.substring(0, MAXIMUM_TEXT_LENGTH) + "... (" + text.length() + " characters)";
        }
    }

    private static final class QueueHandler extends Handler {
        private final BoundedLineWriter lines;

        QueueHandler(BoundedLineWriter lines) {
            this.lines = lines;
        }

        @Override
        public void publish(LogRecord record) {
            if (isLoggable(record)) {
                lines.write(getFormatter().format(record));
            }
        }

        @Override
        public void flush() {
            lines.flush(FLUSH_TIMEOUT_MILLIS);
        }

        @Override
        public void close() {
            lines.flush(FLUSH_TIMEOUT_MILLIS);
        }
    }

    private static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord record) {
            String message = formatMessage(record);
            boolean structured = message.startsWith("{");
            String body = structured ? message : new Line("library", message, Map.of(), record.getThrown()).toString();
            return "{\"time\":\"" + Instant.ofEpochMilli(record.getMillis()) + "\",\"level\":\""
                    + record.getLevel().getName() + "\"," + body.substring(1) + "\n";
        }
    }
}
