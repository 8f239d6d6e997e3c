import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as its page describes the calls that routers make. */
final class Store implements AutoCloseable {

    private record Item(String key, byte[] value, long revision, long created, long lease, boolean removed) {
        String json(Map<String, String> shown) {
            return removed
                    ? "{\"key\":" + Json.quote(key) + ",\"revision\":" + revision + ",\"tombstone\":true}"
                    : "{\"key\":" + Json.quote(key) + ",\"value\":\""
                            + Base64.getEncoder().encodeToString(shownValue(shown)) + "\",\"revision\":" + revision
                            + ",\"create_rev\":" + created + ",\"lease\":" + lease + "}";
        }

        private byte[] shownValue(Map<String, String> shown) {
            String text = new String(value, StandardCharsets.ISO_8859_1);
            for (Map.Entry<String, String> address : shown.entrySet()) {
                text = text.replace('"' + address.getKey() + '"', '"' + address.getValue() + '"');
            }
            return text.getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    private record Lease(long lifetimeMillis, long endNanos) {}

    private final Wire.Server server = new Wire.Server(this::handle);
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new TreeMap<>();
    private long revision = 1;
    private long nextLease = 1_000;

    Store() throws IOException {}

    String address() {
        return server.address();
    }

    /** Writes an item as the operator or an engine does; returns its revision. */
    synchronized long put(String key, String value) {
        return write(key, value.getBytes(StandardCharsets.UTF_8), 0, ++revision);
    }

    synchronized void remove(String key) {
        removeAt(key, ++revision);
    }

    synchronized int count(String prefix) {
        endLeases();
        return (int) items.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    private long write(String key, byte[] value, long lease, long atRevision) {
        Item known = items.get(key);
        Item item = new Item(key, value, atRevision, known == null ? atRevision : known.created(), lease, false);
        items.put(key, item);
        history.add(item);
        notifyAll();
        return atRevision;
    }

    private void removeAt(String key, long atRevision) {
        if (items.remove(key) != null) {
            history.add(new Item(key, new byte[0], atRevision, 0, 0, true));
            notifyAll();
        }
    }

    private void endLeases() {
        long now = System.nanoTime();
        List<Long> ended = leases.entrySet().stream()
                .filter(lease -> lease.getValue().endNanos() <= now)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
    }

    private boolean endLease(long lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        List<String> keys = items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(Item::key)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(key -> removeAt(key, revision));
        }
        return true;
    }

    /**
     * Opens another address of the store, at which some addresses in the values of items appear as others, so that a
     * path can lie between two processes.
     */
    String view(Map<String, String> addresses) throws IOException {
        return new Wire.Server((request, connection) -> answer(connection, reply(request, addresses))).address();
    }

    private void handle(Wire.Request request, Wire.Connection connection) throws IOException, InterruptedException {
        answer(connection, reply(request, Map.of()));
    }

    private static void answer(Wire.Connection connection, String[] reply) throws IOException {
        connection.answer(
                Integer.parseInt(reply[0]),
                Wire.headers("Content-Type", "application/json", "Store-Era", "1"),
                reply[1]);
    }

    private synchronized String[] reply(Wire.Request request, Map<String, String> shown) throws InterruptedException {
        endLeases();
        String path = request.path();
        String body = new String(request.body(), StandardCharsets.UTF_8);
        if (path.equals(Protocol.RANGE_PATH)) {
            return range(request.parameter("prefix"), request.parameter("after"), shown);
        }
        if (path.equals(Protocol.WATCH_PATH)) {
            return watch(request, shown);
        }
        if (path.equals(Protocol.GRANT_PATH)) {
            long lifetime = (long) Json.object(body).get("ttl_ms");
            leases.put(++nextLease, new Lease(lifetime, System.nanoTime() + lifetime * 1_000_000));
            return new String[] {"200", "{\"lease\":" + nextLease + ",\"ttl_ms\":" + lifetime + "}"};
        }
        if (path.startsWith("/kv-keep/")) {
            long id = Long.parseLong(path.substring("/kv-keep/".length()));
            Lease lease = leases.get(id);
            if (lease == null) {
                return new String[] {"404", "{}"};
            }
            leases.put(id, new Lease(lease.lifetimeMillis(), System.nanoTime() + lease.lifetimeMillis() * 1_000_000));
            return new String[] {"200", "{\"ttl_ms\":" + lease.lifetimeMillis() + "}"};
        }
        if (path.startsWith(Protocol.END_PATH)) {
            boolean ended = endLease(Long.parseLong(path.substring(Protocol.END_PATH.length())));
            return new String[] {ended ? "200" : "404", "{}"};
        }
        return path.equals(Protocol.TRANSACTION_PATH) ? transaction(Json.object(body)) : new String[] {"404", "{}"};
    }

    private String[] range(String prefix, String after, Map<String, String> shown) {
        List<String> texts = new ArrayList<>();
        for (Item item : items.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                texts.add(item.json(shown));
            }
        }
        String list = String.join(",", texts);
        return new String[] {
            "200", "{\"items\":[" + list + "],\"truncated\":false,\"current_rev\":" + revision + "}"
        };
    }

    private String[] watch(Wire.Request request, Map<String, String> shown) throws InterruptedException {
        long after = Long.parseLong(request.parameter("after"));
        String prefix = request.parameter("prefix");
        long endNanos = System.nanoTime() + Long.parseLong(request.parameter("wait_ms")) * 1_000_000;
        while (true) {
            endLeases();
            List<String> texts = history.stream()
                    .filter(item -> item.revision() > after && item.key().startsWith(prefix))
                    .map(item -> item.json(shown))
                    .toList();
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!texts.isEmpty() || leftMillis <= 0) {
                String list = String.join(",", texts);
                return new String[] {"200", "{\"events\":[" + list + "],\"current_rev\":" + revision + "}"};
            }
            wait(Math.min(leftMillis, 100));
        }
    }

    @SuppressWarnings("unchecked")
    private String[] transaction(Map<String, Object> body) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.get("expected");
        List<Map<String, Object>> writes = (List<Map<String, Object>>) body.get("writes");
        List<String> failed = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> row : expected) {
            Item known = items.get((String) row.get("key"));
            holds &= (known == null ? 0 : known.revision()) == (long) row.get("revision");
            if (known != null) {
                failed.add(known.json(Map.of()));
            }
        }
        if (!holds) {
            return new String[] {"412", "{\"items\":[" + String.join(",", failed) + "]}"};
        }
        for (Map<String, Object> write : writes) {
            long lease = (long) write.get("lease");
            if (lease != 0 && !leases.containsKey(lease)) {
                return new String[] {"404", "{}"};
            }
        }
        revision++;
        for (Map<String, Object> write : writes) {
            byte[] value = Base64.getDecoder().decode((String) write.get("value"));
            write((String) write.get("key"), value, (long) write.get("lease"), revision);
        }
        ((List<Object>) body.get("remove")).forEach(key -> removeAt((String) key, revision));
        return new String[] {"200", "{\"revision\":" + revision + "}"};
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
