import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: items, revisions, watches, transactions and leases, as the users' pages describe them. */
final class Store {

    private static final List<String> JSON = List.of("Content-Type: application/json");

    private record Item(String key, byte[] value, long revision, long created, long lease) {

        Map<String, Object> json() {
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("key", key);
            json.put("value", Base64.getEncoder().encodeToString(value));
            json.put("revision", revision);
            json.put("create_rev", created);
            json.put("lease", lease);
            return json;
        }
    }

    private record Lease(long ttlMillis, long endsAtMillis) {}

    /** What the store lost when it came back from an older copy. */
    private record Copy(
            TreeMap<String, Item> items, Map<Long, Lease> leases, long revision, int historySize) {}

    private final Record record;
    private final Http.Server server;
    private TreeMap<String, Item> items = new TreeMap<>();
    private Map<Long, Lease> leases = new HashMap<>();
    private List<Map<String, Object>> history = new ArrayList<>();
    private long revision = 1;
    private long nextLease = 1000;
    private long era = 1;
    private volatile boolean away;
    private final Map<Http.Connection, Map<String, String>> views = new java.util.concurrent.ConcurrentHashMap<>();

    Store(Record record) throws IOException {
        this.record = record;
        server = new Http.Server(this::handle);
        Thread.startVirtualThread(this::endLeases);
    }

    String address() {
        return server.address();
    }

    /**
     * Opens another address of the store at which texts in the values of items appear as others, so that each router
     * can have a path of its own to each engine.
     */
    String view(Map<String, String> replacements) throws IOException {
        return new Http.Server((request, connection) -> {
                    views.put(connection, replacements);
                    try {
                        handle(request, connection);
                    } finally {
                        views.remove(connection);
                    }
                })
                .address();
    }

    private Map<String, Object> seenBy(Http.Connection connection, Map<String, Object> json) {
        Map<String, String> replacements = views.get(connection);
        if (replacements == null || !json.containsKey("value")) {
            return json;
        }
        String value = new String(Base64.getDecoder().decode((String) json.get("value")), StandardCharsets.UTF_8);
        for (Map.Entry<String, String> replacement : replacements.entrySet()) {
            value = value.replace(replacement.getKey(), replacement.getValue());
        }
        Map<String, Object> seen = new LinkedHashMap<>(json);
        seen.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        return seen;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    synchronized long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private long put(String key, byte[] value, long lease) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
        items.put(key, item);
        history.add(item.json());
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) {
            return;
        }
        revision++;
        Map<String, Object> event = new LinkedHashMap<>();
        event.put("key", key);
        event.put("revision", revision);
        event.put("tombstone", true);
        history.add(event);
        notifyAll();
    }

    synchronized long revision() {
        return revision;
    }

    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    /** Takes a copy of all that the store holds now. */
    synchronized Object copy() {
        return new Copy(new TreeMap<>(items), new HashMap<>(leases), revision, history.size());
    }

    /** The store is away: connections end, and new ones are closed unanswered. */
    void leave() throws IOException {
        away = true;
        server.dropConnections();
        synchronized (this) {
            notifyAll();
        }
    }

    /** The store is back from a copy; leases of the copy run on from where they were. */
    synchronized void comeBackFrom(Object taken, long copyAgeMillis) {
        Copy copy = (Copy) taken;
        items = new TreeMap<>(copy.items());
        leases = new HashMap<>(copy.leases());
        leases.replaceAll((id, lease) -> new Lease(lease.ttlMillis(), lease.endsAtMillis() + copyAgeMillis));
        history = new ArrayList<>(history.subList(0, copy.historySize()));
        revision = copy.revision();
        era++;
        away = false;
    }

    private void endLeases() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                if (!away) {
                    List<Long> ended = leases.entrySet().stream()
                            .filter(entry -> entry.getValue().endsAtMillis() < now())
                            .map(Map.Entry::getKey)
                            .toList();
                    ended.forEach(this::endLease);
                }
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = items.values().stream()
                .filter(item -> item.lease() == id)
                .map(Item::key)
                .toList();
        keys.forEach(this::remove);
    }

    private void handle(Http.Message request, Http.Connection connection) throws IOException {
        if (away) {
            throw new IOException("the store is away");
        }
        String path = request.target().split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (request.target().contains("?")) {
            for (String pair : request.target().split("\\?", 2)[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        if (path.equals(Protocol.WATCH_PATH)) {
            watch(query, connection);
        } else if (path.equals(Protocol.RANGE_PATH)) {
            range(query, connection);
        } else if (path.equals(Protocol.TRANSACTION_PATH)) {
            transaction(Json.readObject(request.text()), connection);
        } else if (path.equals(Protocol.GRANT_PATH)) {
            grant(Json.readObject(request.text()), connection);
        } else if (path.startsWith("/kv-keep/")) {
            keep(Long.parseLong(path.substring("/kv-keep/".length())), connection);
        } else if (path.startsWith(Protocol.END_PATH)) {
            end(Long.parseLong(path.substring(Protocol.END_PATH.length())), connection);
        } else {
            answer(connection, 404, Map.of());
        }
    }

    private void answer(Http.Connection connection, int status, Map<String, ?> body) throws IOException {
        connection.respond(status, List.of(JSON.get(0), "Store-Era: " + era), Json.write(body));
    }

    private void watch(Map<String, String> query, Http.Connection connection) throws IOException {
        long after = Long.parseLong(query.get("after"));
        long endsAtMillis = now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        Map<String, Object> body = new LinkedHashMap<>();
        int status = 200;
        synchronized (this) {
            long eraAtStart = era;
            while (true) {
                if (away) {
                    throw new IOException("the store is away");
                }
                if (after > revision || era != eraAtStart) {
                    status = 410;
                    break;
                }
                List<Map<String, Object>> events = history.stream()
                        .filter(event -> ((Number) event.get("revision")).longValue() > after
                                && ((String) event.get("key")).startsWith(query.getOrDefault("prefix", "")))
                        .map(event -> seenBy(connection, event))
                        .toList();
                if (!events.isEmpty() || now() >= endsAtMillis) {
                    body.put("events", events);
                    body.put("current_rev", revision);
                    break;
                }
                try {
                    wait(Math.max(1, endsAtMillis - now()));
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }
        answer(connection, status, body);
    }

    private void range(Map<String, String> query, Http.Connection connection) throws IOException {
        Map<String, Object> body = new LinkedHashMap<>();
        synchronized (this) {
            body.put(
                    "items",
                    items.values().stream()
                            .filter(item -> item.key().startsWith(query.getOrDefault("prefix", ""))
                                    && item.key().compareTo(query.getOrDefault("after", "")) > 0)
                            .map(item -> seenBy(connection, item.json()))
                            .toList());
            body.put("truncated", false);
            body.put("current_rev", revision);
        }
        answer(connection, 200, body);
    }

    @SuppressWarnings("unchecked")
    private void transaction(Map<String, Object> request, Http.Connection connection) throws IOException {
        int status = 200;
        Map<String, Object> body = new LinkedHashMap<>();
        synchronized (this) {
            List<Map<String, Object>> expected = (List<Map<String, Object>>) request.getOrDefault("expected", List.of());
            List<Map<String, Object>> writes = (List<Map<String, Object>>) request.getOrDefault("writes", List.of());
            List<String> removed = (List<String>) request.getOrDefault("remove", List.of());
            List<Object> current = new ArrayList<>();
            for (Map<String, Object> row : expected) {
                Item item = items.get((String) row.get("key"));
                if ((item == null ? 0 : item.revision()) != ((Number) row.get("revision")).longValue()) {
                    status = 412;
                }
                if (item != null) {
                    current.add(item.json());
                }
            }
            boolean leaseMissing = writes.stream()
                    .map(write -> ((Number) write.getOrDefault("lease", 0L)).longValue())
                    .anyMatch(lease -> lease != 0 && !leases.containsKey(lease));
            if (status == 412) {
                body.put("items", current);
            } else if (leaseMissing) {
                status = 404;
            } else {
                for (Map<String, Object> write : writes) {
                    byte[] value = Base64.getDecoder().decode((String) write.get("value"));
                    String key = (String) write.get("key");
                    long at = put(key, value, ((Number) write.getOrDefault("lease", 0L)).longValue());
                    if (key.contains("order")) {
                        record.line("store: " + key + " = " + new String(value, StandardCharsets.UTF_8)
                                + " at revision " + at);
                    }
                }
                removed.forEach(this::remove);
                body.put("revision", revision);
            }
        }
        answer(connection, status, body);
    }

    private void grant(Map<String, Object> request, Http.Connection connection) throws IOException {
        long ttlMillis = Math.max(1_000, ((Number) request.get("ttl_ms")).longValue());
        long id;
        synchronized (this) {
            id = nextLease++;
            leases.put(id, new Lease(ttlMillis, now() + ttlMillis));
        }
        answer(connection, 200, Map.of("lease", id, "ttl_ms", ttlMillis));
    }

    private void keep(long id, Http.Connection connection) throws IOException {
        long ttlMillis = 0;
        synchronized (this) {
            Lease lease = leases.get(id);
            if (lease != null) {
                ttlMillis = lease.ttlMillis();
                leases.put(id, new Lease(ttlMillis, now() + ttlMillis));
            }
        }
        answer(connection, ttlMillis > 0 ? 200 : 404, Map.of("lease", id, "ttl_ms", ttlMillis));
    }

    private void end(long id, Http.Connection connection) throws IOException {
        boolean known;
        synchronized (this) {
            known = leases.containsKey(id);
            endLease(id);
        }
        answer(connection, known ? 200 : 404, Map.of());
    }
}
