package org.fuchsiatrail.internal.forwarding;

import java.util.List;
import java.util.stream.Stream;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.AttemptEvent;
import org.fuchsiatrail.forwarding.CallerLimits;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that get no answer or several because the configuration changes while they are open. */
class RequestLostBesideConfigurationTest {

    private static final String CONFIGURATION = "configuration";
    private static final List<String> PATHS = List.of("/read/1", "/issue/1", "/ask/1", "/mark/1");
    private static final EntryVm PEER =
            new EntryVm(new EntryVmId("vm-2"), new FailureDomain("lima-b"), "10.0.0.2:7000", false);

    private final ForwardingFixture fixture = new ForwardingFixture();

    /** What a request has reached when the configuration changes. */
    private enum Progress {
        QUEUED_AT_START,
        WAITING,
        SENT,
        RELAYED,
        DELIVERING,
        BROKEN
    }

    /** A change of the configuration. */
    private enum Change {
        NEWER,
        WITHOUT_SERVICES,
        EMPTY,
        REMOVED,
        UNREADABLE
    }

    /** What happens to the attempts of the request after the change. */
    private enum Outcome {
        NOTHING,
        ANSWERED,
        NOT_EXECUTED,
        LOST,
        UPSTREAMS_REMOVED
    }

    static Stream<Arguments> cases() {
        return Stream.of(Progress.values())
                .flatMap(progress -> Stream.of(Change.values())
                        .flatMap(change ->
                                Stream.of(Outcome.values()).map(outcome -> Arguments.of(progress, change, outcome))));
    }

    private void change(Change change, boolean storeKnown) {
        StoreItemContent content =
                switch (change) {
                    case NEWER -> new StoreItemContent.Routing(ForwardingFixture.table(2));
                    case WITHOUT_SERVICES -> new StoreItemContent.Routing(ForwardingFixture.table(2, List.of()));
                    case EMPTY ->
                        new StoreItemContent.Routing(
                                new RoutingTable(2, List.of(), List.of(), List.of(), CallerLimits.DEFAULTS));
                    case REMOVED -> new StoreItemContent.Removed();
                    case UNREADABLE -> new StoreItemContent.Unreadable("not JSON");
                };
        if (storeKnown) {
            fixture.put(CONFIGURATION, content);
        } else {
            fixture.relay(CONFIGURATION, 90, content);
        }
    }

    private RequestId begin(Progress progress, String path) {
        boolean queued = progress == Progress.QUEUED_AT_START;
        fixture.storeAnswers = !queued;
        fixture.configured();
        if (progress != Progress.WAITING) {
            fixture.register(fixture.recordService("record")).register(fixture.engine("engine", 1));
        }
        if (progress == Progress.RELAYED) {
            fixture.put("members/vm-2", new StoreItemContent.Member(PEER, "10.0.0.2:8000"));
        }
        fixture.start();
        RequestId request = fixture.call(path);
        switch (progress) {
            case RELAYED -> fixture.lost(fixture.send(request), false, "");
            case DELIVERING -> fixture.started(fixture.send(request));
            case BROKEN -> {
                fixture.started(fixture.send(request));
                fixture.lost(fixture.send(request), true, "1");
            }
            default -> {
                // The request is queued, waits or was sent.
            }
        }
        return request;
    }

    private void end(RequestId request, Outcome outcome) {
        if (outcome == Outcome.UPSTREAMS_REMOVED) {
            fixture.remove("servers/record");
            fixture.remove("servers/engine");
            return;
        }
        for (ForwardingOutput.Send send : List.copyOf(fixture.sends(request))) {
            boolean delivering = fixture.delivered(request);
            switch (outcome) {
                case ANSWERED -> {
                    if (delivering) {
                        fixture.deliverEvent(send, new AttemptEvent.Finished());
                    } else {
                        fixture.answered(send, 200);
                    }
                }
                case NOT_EXECUTED -> {
                    if (!delivering) {
                        fixture.answerNotExecuted(send);
                    }
                }
                case LOST -> fixture.lost(send, true, delivering ? "2" : "");
                default -> {
                    // The attempts go on.
                }
            }
        }
    }

    /** Counts the ends of a request; a delivery is one if the delivered answer or stream is finished. */
    private int finalAnswers(RequestId request, boolean finished) {
        int refusals = (int) fixture.all(ForwardingOutput.Refuse.class).stream()
                .filter(refusal -> refusal.request().equals(request))
                .count();
        int aborts = fixture.isAborted(request) ? 1 : 0;
        int deliveries = (int) fixture.all(ForwardingOutput.Deliver.class).stream()
                .filter(delivery -> delivery.request().equals(request))
                .count();
        boolean streamEnded = finished && deliveries > 0;
        return refusals + aborts + (aborts == 0 && (streamEnded || refusals > 0) ? deliveries : 0);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void should_end_each_request_once(Progress progress, Change change, Outcome outcome) {
        List<String> paths = progress == Progress.DELIVERING || progress == Progress.BROKEN
                ? List.of(PATHS.get(2), PATHS.get(3))
                : PATHS;
        for (String path : paths) {
            RequestLostBesideConfigurationTest run = new RequestLostBesideConfigurationTest();
            RequestId request = run.begin(progress, path);
            run.change(change, progress != Progress.QUEUED_AT_START);
            run.fixture.advanceTime(40);
            run.end(request, outcome);
            run.fixture.advanceTime(15_500);
            boolean refusedByRouter = progress == Progress.RELAYED && outcome == Outcome.NOT_EXECUTED;
            boolean finished = outcome == Outcome.ANSWERED || refusedByRouter;
            assertThat(run.finalAnswers(request, finished))
                    .as("ends of the request to " + path)
                    .isEqualTo(1);
            RequestId next = run.fixture.call(path);
            run.fixture.advanceTime(15_500);
            assertThat(run.finalAnswers(next, true))
                    .as("ends of the next request to " + path)
                    .isEqualTo(1);
        }
    }
}
