package org.fuchsiatrail.wire.client;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.wire.WireMapper;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.peer.Addresses;

/** Calls the platform's key-value store over HTTP, with one JSON request and one JSON response per call. */
public final class StoreClient {

    private static final int OK = 200;
    private static final String VM_LIST = StoreResult.VmList.class.getSimpleName();

    /** The most unreadable entries of the list of entry VMs that are logged. */
    private static final int MAXIMUM_LOGGED_ENTRIES = 100;

    private final AsyncHttpClient http;
    private final String address;
    private final ObjectMapper json = WireMapper.json();
    private final Set<String> unreadableVms = ConcurrentHashMap.newKeySet();

    /**
     * Creates a client.
     *
     * @param http the shared HTTP client
     * @param address the store's IP address and port
     */
    public StoreClient(AsyncHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    /**
     * Calls the store.
     *
     * @param request the call
     * @param timeoutMillis the timeout of the call, in milliseconds
     * @param listener receives the result, exactly once; {@link StoreResult.Unavailable} if there was no valid response
     */
    public void call(StoreRequest request, long timeoutMillis, Consumer<StoreResult> listener) {
        byte[] body;
        try {
            body = json.writerFor(StoreRequest.class).writeValueAsBytes(request);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
        http.preparePost("http://" + address + "/v1/store")
                .setHeader("Content-Type", "application/json")
                .setRequestTimeout(Duration.ofMillis(timeoutMillis))
                .setBody(body)
                .execute(new AsyncCompletionHandlerBase() {
                    @Override
                    public Response onCompleted(Response response) {
                        listener.accept(parseResult(response));
                        return response;
                    }

                    @Override
                    public void onThrowable(Throwable cause) {
                        listener.accept(new StoreResult.Unavailable(String.valueOf(cause.getMessage())));
                    }
                });
    }

    private StoreResult parseResult(Response response) {
        if (response.getStatusCode() != OK) {
            return new StoreResult.Unavailable("the store responded with HTTP status " + response.getStatusCode());
        }
        try {
            JsonNode result = json.readTree(response.getResponseBodyAsBytes());
            if (result.path("type").asText().equals(VM_LIST)) {
                return new StoreResult.VmList(parseVms(result.path("vms")));
            }
            return complete(json.treeToValue(result, StoreResult.class));
        } catch (IOException | RuntimeException e) {
            return new StoreResult.Unavailable("the store's response is not a valid store result");
        }
    }

    private static StoreResult complete(StoreResult result) throws IOException {
        if (result == null || (result instanceof StoreResult.Found found && found.value() == null)) {
            throw new IOException("the result has no content");
        }
        return result;
    }

    /** Parses each entry VM by itself; one that cannot be parsed is left out and logged once. */
    private List<EntryVm> parseVms(JsonNode list) throws IOException {
        if (!list.isArray()) {
            throw new IOException("the list of entry VMs is missing");
        }
        List<EntryVm> vms = new ArrayList<>();
        for (JsonNode entry : list) {
            parseVm(entry).ifPresent(vms::add);
        }
        return vms;
    }

    private Optional<EntryVm> parseVm(JsonNode entry) {
        try {
            EntryVm vm = json.treeToValue(entry, EntryVm.class);
            if (vm != null && vm.id() != null && vm.failureDomain() != null && isAddress(vm.address())) {
                return Optional.of(vm);
            }
            logUnreadable(entry, "a field is missing or the address is invalid");
        } catch (IOException | RuntimeException e) {
            logUnreadable(entry, String.valueOf(e.getMessage()));
        }
        return Optional.empty();
    }

    /** The address is empty for an entry VM whose router has no address yet. */
    private static boolean isAddress(String address) {
        return address != null && (address.isEmpty() || Addresses.isValid(address));
    }

    private void logUnreadable(JsonNode entry, String reason) {
        String id = entry.path("id").asText();
        if (unreadableVms.size() < MAXIMUM_LOGGED_ENTRIES && unreadableVms.add(id)) {
            LogLines.info(
                    "store",
                    "Unreadable entry VM ignored.",
                    Map.of("vm", id, "reason", reason.lines().findFirst().orElse("unknown")));
        }
    }
}
