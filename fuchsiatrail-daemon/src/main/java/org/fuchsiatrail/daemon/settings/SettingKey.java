package org.fuchsiatrail.daemon.settings;

import java.util.Arrays;
import java.util.Optional;

/** The keys of the settings file. A test compares them with the table in docs/SETTINGS.md. */
public enum SettingKey {
    /** Id of this router, unique among all routers. */
    ROUTER_ID("router.id", Kind.TEXT, null, 0, 0, "", "Name of this entry VM, unique over all."),
    /** Failure domain of the entry VM on which this router runs. */
    ROUTER_FAILURE_DOMAIN("router.failureDomain", Kind.TEXT, null, 0, 0, "", "Failure domain of this entry VM."),
    /** Secret shared by all routers, used for peer handshakes, resume tokens and cache salts. */
    ROUTER_SECRET(
            "router.secret", Kind.SECRET, "", 0, 0, "", "Secret that all routers share; or use router.secretFile."),
    /** File that contains {@link #ROUTER_SECRET}. */
    ROUTER_SECRET_FILE("router.secretFile", Kind.FILE, "", 0, 0, "", "File that holds the secret."),
    /** Address on which this router accepts connections of peers. */
    PEERS_LISTEN("peers.listen", Kind.ADDRESS, null, 0, 0, "IP:port", "Where to listen for peers."),
    /** Address that this router announces to its peers; {@link #PEERS_LISTEN} when empty. */
    PEERS_ADVERTISE(
            "peers.advertise",
            Kind.ADDRESS,
            "",
            0,
            0,
            "IP:port",
            "Address announced to peers; peers.listen when empty."),
    /** Peers to contact before the list of entry VMs has been read from the platform. */
    PEERS_SEEDS(
            "peers.seeds",
            Kind.SEEDS,
            "",
            0,
            0,
            "list",
            "Peers to try before the platform's list is known, each" + " id/failureDomain/IP:port."),
    /** Address on which this router accepts connections of callers. */
    CALLERS_LISTEN("callers.listen", Kind.ADDRESS, null, 0, 0, "IP:port", "Where to listen for callers."),
    /** Maximum size of a request body. */
    CALLERS_BODY_BYTES(
            "callers.bodyBytes", Kind.INTEGER, "8388608", 1024, 134_217_728, "bytes", "Largest body of a request."),
    /** Maximum total size of the headers of a request. */
    CALLERS_HEADER_BYTES(
            "callers.headerBytes",
            Kind.INTEGER,
            "16384",
            1024,
            1_048_576,
            "bytes",
            "Maximum total size of the headers."),
    /** Default time to the first token of a chat request. */
    CALLERS_FIRST_TOKEN_MILLIS(
            "callers.firstTokenMillis",
            Kind.INTEGER,
            "10000",
            10,
            600_000,
            "ms",
            "Time to the first token when the caller sets none."),
    /** Default deadline of a service call. */
    CALLERS_SERVICE_MILLIS(
            "callers.serviceMillis",
            Kind.INTEGER,
            "10000",
            10,
            600_000,
            "ms",
            "Time for a service call when the caller sets none."),
    /** TLS certificate chain presented to callers. */
    CALLERS_TLS_CERTIFICATE("callers.tlsCertificate", Kind.FILE, "", 0, 0, "PEM", "Certificate chain for callers."),
    /** Private key of {@link #CALLERS_TLS_CERTIFICATE}. */
    CALLERS_TLS_KEY("callers.tlsKey", Kind.FILE, "", 0, 0, "PEM", "Private key for callers, PKCS 8."),
    /** Memory that the connections of callers and operators may keep together. */
    MEMORY_CONNECTION_MEGABYTES(
            "memory.connectionMegabytes",
            Kind.INTEGER,
            "0",
            0,
            65_536,
            "MB",
            "What all connections may keep together; 0 for a fifth of the heap, at least two largest bodies."),
    /** Maximum number of open connections of callers and operators. */
    MEMORY_CONNECTIONS(
            "memory.connections",
            Kind.INTEGER,
            "0",
            0,
            1_000_000,
            "count",
            "Connections that may be open at once; 0 for a third of the descriptors of the process, less 50."),
    /** Address on which this router accepts connections of operators. */
    OPERATORS_LISTEN("operators.listen", Kind.ADDRESS, null, 0, 0, "IP:port", "Where to listen for operators."),
    /** Token that operators send with every request. */
    OPERATORS_TOKEN(
            "operators.token", Kind.SECRET, "", 0, 0, "", "Token that operators send; or use operators.tokenFile."),
    /** File that contains {@link #OPERATORS_TOKEN}. */
    OPERATORS_TOKEN_FILE("operators.tokenFile", Kind.FILE, "", 0, 0, "", "File that holds the token."),
    /** TLS certificate chain presented to operators. */
    OPERATORS_TLS_CERTIFICATE(
            "operators.tlsCertificate", Kind.FILE, "", 0, 0, "PEM", "Certificate chain for operators."),
    /** Private key of {@link #OPERATORS_TLS_CERTIFICATE}. */
    OPERATORS_TLS_KEY("operators.tlsKey", Kind.FILE, "", 0, 0, "PEM", "Private key for operators, PKCS 8."),
    /** Address of the platform's key-value store. */
    STORE_ADDRESS("store.address", Kind.ADDRESS, null, 0, 0, "IP:port", "The platform's key-value service."),
    /** Timeout of one request to the store. */
    STORE_TIMEOUT_MILLIS(
            "store.timeoutMillis", Kind.INTEGER, "500", 10, 60_000, "ms", "Longest wait for one answer of the store."),
    /** Weight of recomputing cached prompt tokens against waiting, when an engine is selected. */
    ROUTING_RECOMPUTE_WEIGHT(
            "routing.recomputeWeight",
            Kind.DECIMAL,
            "1.0",
            0,
            100,
            "ratio",
            "Milliseconds of waiting that one millisecond of recomputing is worth."),
    /** Maximum prefill work placed on an engine; further requests are queued in the router. */
    ROUTING_ENGINE_WINDOW_MILLIS(
            "routing.engineWindowMillis",
            Kind.INTEGER,
            "250",
            10,
            60_000,
            "ms",
            "Most prefill placed on an engine before requests wait in the router."),
    /** Timeout of a lookup in the cache directory. */
    ROUTING_LOOKUP_BUDGET_MILLIS(
            "routing.lookupBudgetMillis", Kind.INTEGER, "10", 1, 1_000, "ms", "Longest wait for the cache directory."),
    /** Network delay assumed to another failure domain. */
    ROUTING_DOMAIN_DISTANCE_MILLIS(
            "routing.domainDistanceMillis", Kind.INTEGER, "1", 0, 1_000, "ms", "Delay to another failure domain."),
    /** Idle timeout of an attempt: without an event of the engine for this long, another engine takes over. */
    ROUTING_SILENCE_MILLIS(
            "routing.silenceMillis",
            Kind.INTEGER,
            "4000",
            100,
            600_000,
            "ms",
            "Time without an event from an engine within an attempt before another engine takes over."),
    /** Retry budget, as retries per first attempt. */
    LIMITS_RETRY_RATIO(
            "limits.retryRatio", Kind.DECIMAL, "0.1", 0, 1, "ratio", "Retries allowed for each first attempt."),
    /** How long a request that crashes engines stays in quarantine. */
    LIMITS_QUARANTINE_MILLIS(
            "limits.quarantineMillis",
            Kind.INTEGER,
            "600000",
            1_000,
            86_400_000,
            "ms",
            "How long a request that crashes engines is remembered."),
    /** Minimum interval between two heartbeats. */
    MEMBERSHIP_HEARTBEAT_MILLIS(
            "membership.heartbeatMillis",
            Kind.INTEGER,
            "250",
            20,
            60_000,
            "ms",
            "Minimum interval between two heartbeats."),
    /** Time since the last contact after which a peer is suspected. */
    MEMBERSHIP_SUSPECT_MILLIS(
            "membership.suspectAfterMillis",
            Kind.INTEGER,
            "1000",
            50,
            600_000,
            "ms",
            "Time since the last contact after which a peer is suspected."),
    /** Time since the last contact after which a peer is considered dead. */
    MEMBERSHIP_DEAD_MILLIS(
            "membership.deadAfterMillis",
            Kind.INTEGER,
            "3000",
            100,
            600_000,
            "ms",
            "Time since the last contact after which a peer is considered dead."),
    /** Number of ledger shards, the same on all routers. */
    LEDGER_SHARDS("ledger.shards", Kind.INTEGER, "1", 1, 64, "count", "Shards of the ledger; the same on all routers."),
    /** Minimum interval between two writes to a ledger shard. */
    LEDGER_GAP_MILLIS(
            "ledger.gapMillis", Kind.INTEGER, "10", 0, 10_000, "ms", "Minimum interval between two writes to a shard."),
    /** Minimum time for which the ledger keeps an answer. */
    LEDGER_RETENTION_MILLIS(
            "ledger.retentionMillis",
            Kind.INTEGER,
            "3600000",
            60_000,
            604_800_000,
            "ms",
            "How long the ledger keeps an answer at least."),
    /** Duration of the order lease. */
    ORDERS_LEASE_MILLIS(
            "orders.leaseMillis", Kind.INTEGER, "15000", 1_000, 600_000, "ms", "Duration of the order lease."),
    /** Validity period of an order: how long after its issue an engine may still accept it. */
    ORDERS_LIFE_MILLIS(
            "orders.lifeMillis",
            Kind.INTEGER,
            "5000",
            100,
            600_000,
            "ms",
            "How long an engine may still accept an order."),
    /** Exporter of trace spans. */
    TRACING_EXPORTER("tracing.exporter", Kind.TRACING, "none", 0, 0, "", "none, or log for one log line per span."),
    /** Lowest level of log lines that are written. */
    LOG_LEVEL("log.level", Kind.LEVEL, "info", 0, 0, "", "error, warning, info or debug.");

    /** The type of a value, with the description shown when a value does not match it. */
    enum Kind {
        TEXT("a string that is not blank"),
        SECRET("a string of at least 16 characters"),
        FILE("the path of a readable file"),
        ADDRESS("IP:port, for example 10.0.0.5:7000"),
        INTEGER("an integer"),
        DECIMAL("a decimal number"),
        SEEDS("a list of id/failureDomain/IP:port"),
        TRACING("none or log"),
        LEVEL("error, warning, info or debug");

        private final String expected;

        Kind(String expected) {
            this.expected = expected;
        }
    }

    private final String path;
    private final Kind kind;
    private final String defaultValue;
    private final double minimum;
    private final double maximum;
    private final String unit;
    private final String meaning;

    SettingKey(
            String path, Kind kind, String defaultValue, double minimum, double maximum, String unit, String meaning) {
        this.path = path;
        this.kind = kind;
        this.defaultValue = defaultValue;
        this.minimum = minimum;
        this.maximum = maximum;
        this.unit = unit;
        this.meaning = meaning;
    }

    /**
     * Returns the path of the key in the settings file.
     *
     * @return the section and the name, joined by a dot
     */
    public String path() {
        return path;
    }

    Kind kind() {
        return kind;
    }

    Optional<String> defaultValue() {
        return Optional.ofNullable(defaultValue);
    }

    boolean withinBounds(double value) {
        return value >= minimum && value <= maximum;
    }

    String expected() {
        boolean bounded = kind == Kind.INTEGER || kind == Kind.DECIMAL;
        return kind.expected + (bounded ? " from " + formatNumber(minimum) + " to " + formatNumber(maximum) : "");
    }

    /**
     * Returns the row of the key in docs/SETTINGS.md.
     *
     * @return a row of a Markdown table
     */
    public String documentationRow() {
        String shownDefault = defaultValue == null ? "required" : defaultValue.isEmpty() ? "empty" : defaultValue;
        boolean bounded = kind == Kind.INTEGER || kind == Kind.DECIMAL;
        String bounds = bounded ? formatNumber(minimum) + " to " + formatNumber(maximum) : "";
        return "| `" + path + "` | " + shownDefault + " | " + unit + " | " + bounds + " | " + meaning + " |";
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    static Optional<SettingKey> forPath(String path) {
        return Arrays.stream(values()).filter(key -> key.path.equals(path)).findFirst();
    }
}
