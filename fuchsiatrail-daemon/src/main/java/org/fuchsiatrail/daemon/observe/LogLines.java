package org.fuchsiatrail.daemon.observe;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import com.google.common.flogger.FluentLogger;

/** Writes the log: one line an event, with the part that speaks, a short sentence, and fields. */
public final class LogLines {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private LogLines() {}

    /**
     * Sends the log to the standard error stream.
     *
     * @param level error, warning, info or debug
     */
    public static void install(String level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Level least = level(level);
        Handler console = new ConsoleHandler();
        console.setLevel(least);
        console.setFormatter(new LineFormatter());
        root.addHandler(console);
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
     * Writes a line.
     *
     * @param part the part that speaks
     * @param sentence a short sentence
     * @param fields what goes with it
     */
    public static void info(String part, String sentence, Map<String, Object> fields) {
        LOGGER.atInfo().log("[%s] %s%s", part, sentence, new Fields(fields));
    }

    /**
     * Writes a line about an error.
     *
     * @param part the part that speaks
     * @param sentence a short sentence
     * @param cause the error
     */
    public static void error(String part, String sentence, Throwable cause) {
        LOGGER.atSevere().withCause(cause).log("[%s] %s", part, sentence);
    }

    private record Fields(Map<String, Object> values) {
        @Override
        public String toString() {
            StringBuilder text = new StringBuilder();
            values.forEach(
                    (name, value) -> text.append(' ').append(name).append('=').append(quoted(value)));
            return text.toString();
        }

        private static String quoted(Object value) {
            String text = String.valueOf(value);
            boolean plain = !text.isEmpty() && text.chars().allMatch(each -> each > ' ' && each != '"' && each != '=');
            return plain
                    ? text
                    : '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
        }
    }

    private static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord record) {
            String line = Instant.ofEpochMilli(record.getMillis()) + " "
                    + record.getLevel().getName() + " " + formatMessage(record) + "\n";
            if (record.getThrown() == null) {
                return line;
            }
            StringWriter trace = new StringWriter();
            record.getThrown().printStackTrace(new PrintWriter(trace));
            return line + trace;
        }
    }
}
