import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file in which a case writes what was sent, answered and run, with milliseconds since its start. */
final class Record implements AutoCloseable {

    private final PrintWriter writer;
    private final long begun = System.nanoTime();

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    long now() {
        return Wire.millisSince(begun);
    }

    synchronized void line(String text) {
        writer.printf("%7d %s%n", now(), text);
    }

    synchronized void conclude(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
