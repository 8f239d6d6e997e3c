import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names of the platform's protocol, which stand in a file of their own beside the stand-ins. */
final class Protocol {

    private static final Properties NAMES = read();

    static final String ATTEMPT_ID = NAMES.getProperty("attemptId");
    static final String SIGNATURE = NAMES.getProperty("signature");
    static final String NOT_EXECUTED = NAMES.getProperty("notExecuted");
    static final String WEIGHTS = NAMES.getProperty("weights");
    static final String EXPECTED_ENGINE = NAMES.getProperty("expectedEngine");
    static final String CACHE_SALT = NAMES.getProperty("cacheSalt");
    static final String TOKEN_COUNTS = NAMES.getProperty("tokenCounts");
    static final String PROMPT_PREFIX = NAMES.getProperty("promptPrefix");
    static final String CONFIGURATION_KEY = NAMES.getProperty("configurationKey");
    static final String LATENCY_TARGET = NAMES.getProperty("latencyTarget");
    static final String WATCH_PATH = NAMES.getProperty("watchPath");
    static final String RANGE_PATH = NAMES.getProperty("rangePath");
    static final String TRANSACTION_PATH = NAMES.getProperty("transactionPath");
    static final String GRANT_PATH = NAMES.getProperty("grantPath");
    static final String END_PATH = NAMES.getProperty("endPath");

    private Protocol() {}

    private static Properties read() {
        Properties names = new Properties();
        try (InputStream file = Protocol.class.getResourceAsStream("protocol.properties")) {
            names.load(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return names;
    }
}
