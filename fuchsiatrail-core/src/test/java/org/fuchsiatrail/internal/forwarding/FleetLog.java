package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.forwarding.ForwardingOutput;

/** What the routers of an {@link EngineFleet} logged of crashes, quarantines, dark engines and refusals. */
final class FleetLog {

    static final String UPSTREAM_DARK = "Upstream is dark.";
    static final String ATTEMPT_ENDED = "Silent attempt ended.";
    private static final Set<String> OF_DARK_ENGINES = Set.of(UPSTREAM_DARK, ATTEMPT_ENDED);

    private final List<ForwardingOutput.LogEvent> events = new ArrayList<>();

    private final Map<String, String> refusalByAttemptId = new HashMap<>();
    /** The requests for which a connection to an engine was not established, in order. */
    final List<EngineFleet.Arrival> unconnected = new ArrayList<>();

    /** The requests that routers refused to each other for want of a path to any engine. */
    int refusalsWithoutPath;

    void record(ForwardingOutput.LogEvent event) {
        if (event.message().equals("Request refused.")) {
            Map<String, Object> fields = event.fields();
            refusalsWithoutPath += "no upstream is reachable".equals(fields.get("reason")) ? 1 : 0;
            refusalByAttemptId.put(fields.get("request").toString(), fields.toString());
        }
        if (event.component().equals("quarantine") || OF_DARK_ENGINES.contains(event.message())) {
            events.add(event);
        }
    }

    /** The fields of all events with a message, in order. */
    List<String> events(String message) {
        return events.stream()
                .filter(event -> event.message().equals(message))
                .map(event -> event.fields().toString())
                .toList();
    }

    /** The fields of the last line that told why a request of a caller was refused or its stream cut. */
    String refusal(FleetRequest request) {
        return refusalByAttemptId.getOrDefault(request.attemptId, "not logged");
    }
}
