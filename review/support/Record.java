import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start in milliseconds. */
final class Record {

    private final long startNanos = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line that is also printed. */
    void verdict(String text) {
        line(text);
        System.out.println(text);
    }

    synchronized void line(String text) {
        String line = String.format("%7d %s", millis(), text);
        file.println(line);
    }
}
