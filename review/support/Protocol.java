import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Properties;

/** The names and texts of the platform's protocol, which stand in files of their own beside the stand-ins. */
final class Protocol {

    static final String ATTEMPT_ID = name("attemptId");
    static final String SIGNATURE = name("signature");
    static final String NOT_EXECUTED = name("notExecuted");
    static final String WEIGHTS = name("weights");
    static final String TOKEN_COUNTS = name("tokenCounts");
    static final String PROMPT_PREFIX = name("promptPrefix");
    static final String FENCING_TOKEN = name("fencingToken");
    static final String CONFIGURATION_KEY = name("configurationKey");
    static final String WATCH_PATH = name("watchPath");
    static final String RANGE_PATH = name("rangePath");
    static final String TRANSACTION_PATH = name("transactionPath");
    static final String GRANT_PATH = name("grantPath");
    static final String END_PATH = name("endPath");

    private Protocol() {}

    private static String name(String key) {
        Properties names = new Properties();
        try (Reader reader = new InputStreamReader(open("protocol.properties"), StandardCharsets.UTF_8)) {
            names.load(reader);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return names.getProperty(key);
    }

    /** Reads a text that stands beside the stand-ins. */
    static String text(String file) {
        try (InputStream stream = open(file)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static InputStream open(String file) {
        return Protocol.class.getResourceAsStream("/" + file);
    }
}
