package org.fuchsiatrail.daemon.settings;

import java.util.Arrays;
import java.util.Optional;

/** Every key of the settings; docs/SETTINGS.md holds the same table. */
public enum SettingKey {
    /** The router's name. */
    ROUTER_ID("router.id", Kind.TEXT, null, 0, 0, "", "Name of this entry VM, unique over all."),
    /** Its failure domain. */
    ROUTER_FAILURE_DOMAIN("router.failureDomain", Kind.TEXT, null, 0, 0, "", "Failure domain of this entry VM."),
    /** The routers' secret. */
    ROUTER_SECRET(
            "router.secret", Kind.SECRET, "", 0, 0, "", "Secret that all routers share; or use router.secretFile."),
    /** A file with the routers' secret. */
    ROUTER_SECRET_FILE("router.secretFile", Kind.FILE, "", 0, 0, "", "File that holds the secret."),
    /** Where peers are listened for. */
    PEERS_LISTEN("peers.listen", Kind.ADDRESS, null, 0, 0, "IP:port", "Where to listen for peers."),
    /** The address told to peers. */
    PEERS_ADVERTISE(
            "peers.advertise", Kind.ADDRESS, "", 0, 0, "IP:port", "Address told to peers; peers.listen when empty."),
    /** Peers to try first. */
    PEERS_SEEDS(
            "peers.seeds",
            Kind.SEEDS,
            "",
            0,
            0,
            "list",
            "Peers to try before the platform's list is known, each" + " id/failureDomain/IP:port."),
    /** Where callers are listened for. */
    CALLERS_LISTEN("callers.listen", Kind.ADDRESS, null, 0, 0, "IP:port", "Where to listen for callers."),
    /** Largest body. */
    CALLERS_BODY_BYTES(
            "callers.bodyBytes", Kind.INTEGER, "8388608", 1024, 134_217_728, "bytes", "Largest body of a request."),
    /** Largest headers. */
    CALLERS_HEADER_BYTES(
            "callers.headerBytes", Kind.INTEGER, "16384", 1024, 1_048_576, "bytes", "Largest sum of headers."),
    /** Deadline of a chat request. */
    CALLERS_FIRST_TOKEN_MILLIS(
            "callers.firstTokenMillis",
            Kind.INTEGER,
            "10000",
            10,
            600_000,
            "ms",
            "Time to the first token when the caller names none."),
    /** Deadline of a service call. */
    CALLERS_SERVICE_MILLIS(
            "callers.serviceMillis",
            Kind.INTEGER,
            "10000",
            10,
            600_000,
            "ms",
            "Time for a service call when the caller names none."),
    /** TLS certificate. */
    CALLERS_TLS_CERTIFICATE("callers.tlsCertificate", Kind.FILE, "", 0, 0, "PEM", "Certificate chain for callers."),
    /** TLS key. */
    CALLERS_TLS_KEY("callers.tlsKey", Kind.FILE, "", 0, 0, "PEM", "Private key for callers, PKCS 8."),
    /** Where operators are listened for. */
    OPERATORS_LISTEN("operators.listen", Kind.ADDRESS, null, 0, 0, "IP:port", "Where to listen for operators."),
    /** The operators' token. */
    OPERATORS_TOKEN(
            "operators.token", Kind.SECRET, "", 0, 0, "", "Token that operators send; or use operators.tokenFile."),
    /** A file with the operators' token. */
    OPERATORS_TOKEN_FILE("operators.tokenFile", Kind.FILE, "", 0, 0, "", "File that holds the token."),
    /** TLS certificate for operators. */
    OPERATORS_TLS_CERTIFICATE(
            "operators.tlsCertificate", Kind.FILE, "", 0, 0, "PEM", "Certificate chain for operators."),
    /** TLS key for operators. */
    OPERATORS_TLS_KEY("operators.tlsKey", Kind.FILE, "", 0, 0, "PEM", "Private key for operators, PKCS 8."),
    /** The store. */
    STORE_ADDRESS("store.address", Kind.ADDRESS, null, 0, 0, "IP:port", "The platform's key-value service."),
    /** Longest wait for the store. */
    STORE_TIMEOUT_MILLIS(
            "store.timeoutMillis", Kind.INTEGER, "500", 10, 60_000, "ms", "Longest wait for one answer of the store."),
    /** Weight of recomputation. */
    ROUTING_RECOMPUTE_WEIGHT(
            "routing.recomputeWeight",
            Kind.DECIMAL,
            "1.0",
            0,
            100,
            "ratio",
            "Milliseconds of waiting that one millisecond of recomputing is worth."),
    /** Work placed on an engine. */
    ROUTING_ENGINE_WINDOW_MILLIS(
            "routing.engineWindowMillis",
            Kind.INTEGER,
            "250",
            10,
            60_000,
            "ms",
            "Most prefill placed on an engine before requests wait in the router."),
    /** Lookup budget. */
    ROUTING_LOOKUP_BUDGET_MILLIS(
            "routing.lookupBudgetMillis", Kind.INTEGER, "10", 1, 1_000, "ms", "Longest wait for the cache directory."),
    /** Distance between domains. */
    ROUTING_DOMAIN_DISTANCE_MILLIS(
            "routing.domainDistanceMillis", Kind.INTEGER, "1", 0, 1_000, "ms", "Delay to another failure domain."),
    /** Silence of an engine. */
    ROUTING_SILENCE_MILLIS(
            "routing.silenceMillis",
            Kind.INTEGER,
            "4000",
            100,
            600_000,
            "ms",
            "Silence of an engine within an attempt before another takes over."),
    /** Retry ratio. */
    LIMITS_RETRY_RATIO(
            "limits.retryRatio", Kind.DECIMAL, "0.1", 0, 1, "ratio", "Retries allowed for each first attempt."),
    /** Quarantine. */
    LIMITS_QUARANTINE_MILLIS(
            "limits.quarantineMillis",
            Kind.INTEGER,
            "600000",
            1_000,
            86_400_000,
            "ms",
            "How long a request that crashes engines is remembered."),
    /** Heartbeats. */
    MEMBERSHIP_HEARTBEAT_MILLIS(
            "membership.heartbeatMillis", Kind.INTEGER, "250", 20, 60_000, "ms", "Least time between two heartbeats."),
    /** Suspicion. */
    MEMBERSHIP_SUSPECT_MILLIS(
            "membership.suspectAfterMillis",
            Kind.INTEGER,
            "1000",
            50,
            600_000,
            "ms",
            "Silence after which a peer is suspect."),
    /** Death. */
    MEMBERSHIP_DEAD_MILLIS(
            "membership.deadAfterMillis",
            Kind.INTEGER,
            "3000",
            100,
            600_000,
            "ms",
            "Silence after which a peer is dead."),
    /** Ledger shards. */
    LEDGER_SHARDS("ledger.shards", Kind.INTEGER, "1", 1, 64, "count", "Shards of the ledger; the same on all routers."),
    /** Gap between ledger writes. */
    LEDGER_GAP_MILLIS(
            "ledger.gapMillis", Kind.INTEGER, "10", 0, 10_000, "ms", "Least time between two writes to a shard."),
    /** Retention of the ledger. */
    LEDGER_RETENTION_MILLIS(
            "ledger.retentionMillis",
            Kind.INTEGER,
            "3600000",
            60_000,
            604_800_000,
            "ms",
            "How long the ledger keeps an answer at least."),
    /** Order lease. */
    ORDERS_LEASE_MILLIS(
            "orders.leaseMillis", Kind.INTEGER, "15000", 1_000, 600_000, "ms", "Length of the lease on giving orders."),
    /** Order life. */
    ORDERS_LIFE_MILLIS(
            "orders.lifeMillis",
            Kind.INTEGER,
            "5000",
            100,
            600_000,
            "ms",
            "How long an engine may still accept an order."),
    /** Trace exporter. */
    TRACING_EXPORTER("tracing.exporter", Kind.TRACING, "none", 0, 0, "", "none, or log for one log line a span."),
    /** Log level. */
    LOG_LEVEL("log.level", Kind.LEVEL, "info", 0, 0, "", "error, warning, info or debug.");

    /** What a value looks like. */
    enum Kind {
        TEXT("a text"),
        SECRET("a text of 16 characters or more"),
        FILE("the path of a file"),
        ADDRESS("IP:port, for example 10.0.0.5:7000"),
        INTEGER("a whole number"),
        DECIMAL("a number"),
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
    private final double least;
    private final double most;
    private final String unit;
    private final String meaning;

    SettingKey(String path, Kind kind, String defaultValue, double least, double most, String unit, String meaning) {
        this.path = path;
        this.kind = kind;
        this.defaultValue = defaultValue;
        this.least = least;
        this.most = most;
        this.unit = unit;
        this.meaning = meaning;
    }

    /**
     * Returns the key as it is written.
     *
     * @return section and name
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
        return value >= least && value <= most;
    }

    String expected() {
        boolean bounded = kind == Kind.INTEGER || kind == Kind.DECIMAL;
        return kind.expected + (bounded ? " from " + number(least) + " to " + number(most) : "");
    }

    /**
     * Returns the key's row of docs/SETTINGS.md.
     *
     * @return a row of a Markdown table
     */
    public String documentationRow() {
        String shownDefault = defaultValue == null ? "required" : defaultValue.isEmpty() ? "empty" : defaultValue;
        boolean bounded = kind == Kind.INTEGER || kind == Kind.DECIMAL;
        String bounds = bounded ? number(least) + " to " + number(most) : "";
        return "| `" + path + "` | " + shownDefault + " | " + unit + " | " + bounds + " | " + meaning + " |";
    }

    private static String number(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    static Optional<SettingKey> of(String path) {
        return Arrays.stream(values()).filter(key -> key.path.equals(path)).findFirst();
    }
}
