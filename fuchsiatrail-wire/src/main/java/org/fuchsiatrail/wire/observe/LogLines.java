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
 * Writes the log: one JSON object a line, with the time, the level, the part that speaks, a short sentence, and the
 * fields that belong to it.
 */
public final class LogLines {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final JsonFactory JSON = new JsonFactory();

    /** Lines that may wait for the writer; a second of the most a router writes. */
    private static final int LONGEST_QUEUE = 8_192;

    private static volatile BoundedLineWriter writer;

    private LogLines() {}

    /**
     * Sends the log to the standard output stream, without ever waiting for its reader.
     *
     * @param level error, warning, info or debug
     */
    public static void install(String level) {
        install(level, System.out);
    }

    /**
     * Sends the log to a stream, without ever waiting for its reader.
     *
     * @param level error, warning, info or debug
     * @param stream where the lines go
     */
    public static void install(String level, PrintStream stream) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Level least = level(level);
        writer = BoundedLineWriter.start(stream, LONGEST_QUEUE);
        Handler handler = new QueueHandler(writer);
        handler.setLevel(least);
        handler.setFormatter(new LineFormatter());
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        Logger.getLogger("org.fuchsiatrail").setLevel(least);
    }

    private static Level level(String name) {
        return switch (name) {
            case "error" -> Level.SEVERE;
            case "warning" -> Level.WARNING;
            case "debug" -> Level.FINE;
            default -> Level.INFO;
        };
    }

    /**
     * Returns how many lines were dropped because their reader was too slow.
     *
     * @return a count
     */
    public static long droppedLines() {
        BoundedLineWriter current = writer;
        return current == null ? 0 : current.dropped();
    }

    /** Writes out what waits; to be called at the end of a process. */
    public static void flush() {
        BoundedLineWriter current = writer;
        if (current != null) {
            current.flush();
        }
    }

    /**
     * Writes a line.
     *
     * @param part the part that speaks
     * @param sentence a short sentence
     * @param fields what goes with it
     */
    public static void info(String part, String sentence, Map<String, Object> fields) {
        LOGGER.atInfo().log("%s", new Line(part, sentence, fields, null));
    }

    /**
     * Writes a line about an error.
     *
     * @param part the part that speaks
     * @param sentence a short sentence
     * @param cause the error
     */
    public static void error(String part, String sentence, Throwable cause) {
        LOGGER.atSevere().log("%s", new Line(part, sentence, Map.of(), cause));
    }

    /** The fields of a line, made into text only when the line is written. */
    private record Line(String part, String sentence, Map<String, Object> fields, Throwable cause) {
        @Override
        public String toString() {
            StringWriter text = new StringWriter();
            try (JsonGenerator json = JSON.createGenerator(text)) {
                json.writeStartObject();
                json.writeStringField("part", part);
                json.writeStringField("message", sentence);
                for (Map.Entry<String, Object> field : fields.entrySet()) {
                    write(json, field.getKey(), field.getValue());
                }
                if (cause != null) {
                    json.writeStringField("cause", cause.toString());
                    StackTraceElement[] trace = cause.getStackTrace();
                    json.writeStringField("at", trace.length == 0 ? "" : trace[0].toString());
                }
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return text.toString();
        }

        private static void write(JsonGenerator json, String name, Object value) throws IOException {
            if (value instanceof Long || value instanceof Integer) {
                json.writeNumberField(name, ((Number) value).longValue());
            } else if (value instanceof Number number) {
                json.writeNumberField(name, number.doubleValue());
            } else if (value instanceof Boolean flag) {
                json.writeBooleanField(name, flag);
            } else {
                json.writeStringField(name, String.valueOf(value));
            }
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
            lines.flush();
        }

        @Override
        public void close() {
            lines.flush();
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
