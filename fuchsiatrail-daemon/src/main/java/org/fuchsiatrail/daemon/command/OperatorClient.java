package org.fuchsiatrail.daemon.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.ExecutionException;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.wire.WireMapper;
import org.fuchsiatrail.wire.client.HttpClients;
import picocli.CommandLine.Option;

/** The command-line options for the router address and the token, and the client that uses them. */
final class OperatorClient {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

    @Option(
            names = "--router",
            defaultValue = "${env:FUCHSIATRAIL_ROUTER}",
            description = "Operator address of a router, as IP:port or https://IP:port.")
    private String router;

    @Option(
            names = "--token",
            defaultValue = "${env:FUCHSIATRAIL_TOKEN}",
            description = "The operator token; --token-file is preferred.")
    private String token;

    @Option(names = "--token-file", description = "A file that contains the operator token.")
    private Path tokenFile;

    @Option(names = "--json", description = "Print the answer as JSON.")
    private boolean json;

    private final ObjectMapper mapper = WireMapper.json();

    boolean printsJson() {
        return json;
    }

    String asJson(OperatorAnswer answer) throws IOException {
        return mapper.writerWithDefaultPrettyPrinter()
                .forType(OperatorAnswer.class)
                .writeValueAsString(answer);
    }

    OperatorAnswer send(OperatorRequest request) throws IOException, InterruptedException {
        if (router == null || router.isBlank()) {
            throw new IOException("No router address is set.\nUse --router IP:port, or set FUCHSIATRAIL_ROUTER.");
        }
        String base = router.contains("://") ? router : "http://" + router;
        try (AsyncHttpClient http = HttpClients.create(1)) {
            Response response = http.preparePost(base + "/v1/operator")
                    .setHeader("Authorization", "Bearer " + bearerToken())
                    .setHeader("Content-Type", "application/json")
                    .setRequestTimeout(REQUEST_TIMEOUT)
                    .setBody(mapper.writerFor(OperatorRequest.class).writeValueAsBytes(request))
                    .execute()
                    .get();
            return parseAnswer(response);
        } catch (ExecutionException e) {
            throw new IOException(
                    "Router " + router + " does not respond: " + e.getCause().getMessage()
                            + "\nCheck the address, or try another router; every router accepts operator requests.",
                    e);
        }
    }

    private OperatorAnswer parseAnswer(Response response) throws IOException {
        byte[] body = response.getResponseBodyAsBytes();
        if (!mapper.readTree(body).has("type")) {
            String message =
                    mapper.readTree(body).path("error").path("message").asText("HTTP " + response.getStatusCode());
            String advice = mapper.readTree(body).path("error").path("advice").asText("");
            throw new IOException(message + "\n" + advice);
        }
        return mapper.readValue(body, OperatorAnswer.class);
    }

    private String bearerToken() throws IOException {
        if (tokenFile != null) {
            return Files.readString(tokenFile).strip();
        }
        return token == null ? "" : token;
    }
}
