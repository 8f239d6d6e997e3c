package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.fuchsiatrail.AttemptId;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.forwarding.CallerLimits;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.CustomerLimit;
import org.fuchsiatrail.forwarding.ForwardingInput;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests over their customer's limit that reach an upstream, and against other ones being refused. */
class CustomerLimitInCallsTest {

    private static final String OTHER_KEY = "key-2";

    private final ForwardingFixture fixture = new ForwardingFixture();

    private void start(long perSecond) {
        fixture.put("configuration", configuration(1, Optional.of(limit(perSecond))));
        fixture.register(fixture.recordService("r-1")).register(fixture.recordService("r-2"));
        fixture.start();
        fixture.advanceTime(10_000);
    }

    private static CustomerLimit limit(long perSecond) {
        return new CustomerLimit(perSecond, perSecond, CustomerLimit.Unit.REQUESTS, 1);
    }

    private static StoreItemContent configuration(long version, Optional<CustomerLimit> limit) {
        return configuration(version, limit, ForwardingFixture.KEY, OTHER_KEY);
    }

    private static StoreItemContent configuration(
            long version, Optional<CustomerLimit> limit, String hotKey, String otherKey) {
        return new StoreItemContent.Routing(new RoutingTable(
                version,
                List.of(ForwardingFixture.route("/read/", RequestKind.IDEMPOTENT, false, 2, "records")),
                List.of(new ServiceDefinition("records", 100, Optional.empty(), Optional.empty())),
                List.of(
                        new CustomerEntry(new CustomerId("hot"), List.of(hotKey), OptionalInt.empty(), false, limit),
                        new CustomerEntry(new CustomerId("other"), List.of(otherKey), OptionalInt.empty(), false)),
                CallerLimits.DEFAULTS));
    }

    /** Sends requests every 20 ms, which upstreams answer at once, and returns the refused ones. */
    private List<ForwardingOutput.Refuse> callFor(long millis) {
        List<ForwardingOutput.Refuse> refused = new ArrayList<>();
        for (long elapsed = 0; elapsed < millis; elapsed += 20) {
            RequestId request = fixture.call("/read/1");
            fixture.refusal(request).ifPresent(refused::add);
            fixture.sends(request).forEach(send -> fixture.answered(send, 200));
            fixture.advanceTime(20);
        }
        return refused;
    }

    @Test
    void should_refuse_what_exceeds_the_limit_and_send_it_to_no_upstream() {
        start(10);
        List<ForwardingOutput.Refuse> refused = callFor(16_000);
        assertThat(refused.size()).isBetween(16_000 / 20 - 16 * 10 - 20, 16_000 / 20 - 16 * 9);
        assertThat(refused).allSatisfy(refusal -> {
            assertThat(refusal.code()).isEqualTo(ResultCode.OVER_LIMIT);
            assertThat(refusal.retryAfterMillis()).isPositive();
            assertThat(fixture.sends(refusal.request())).isEmpty();
        });
    }

    @Test
    void should_not_refuse_other_customers() {
        start(10);
        callFor(2_000);
        RequestId request = fixture.call("/read/1", OTHER_KEY, List.of());
        assertThat(fixture.sends(request)).hasSize(1);
    }

    @Test
    void should_go_by_a_changed_limit_at_once() {
        start(10);
        callFor(4_000);
        fixture.put("configuration", configuration(2, Optional.empty()));
        fixture.advanceTime(100);
        assertThat(callFor(4_000)).isEmpty();
        fixture.put("configuration", configuration(3, Optional.of(limit(5))));
        fixture.advanceTime(100);
        assertThat(callFor(8_000).size()).isGreaterThan(8_000 / 20 - 8 * 5 - 20);
    }

    @Test
    void should_not_count_what_upstreams_did_not_execute() {
        start(10);
        List<RequestId> requests = new ArrayList<>();
        Set<AttemptId> answered = new HashSet<>();
        for (int number = 0; number < 150; number++) {
            requests.add(fixture.call("/read/" + number));
            requests.stream()
                    .flatMap(request -> fixture.sends(request).stream())
                    .filter(send -> answered.add(send.attempt()))
                    .toList()
                    .forEach(fixture::answerNotExecuted);
            fixture.advanceTime(80);
        }
        assertThat(requests)
                .allSatisfy(request -> assertThat(fixture.refusal(request).map(ForwardingOutput.Refuse::code))
                        .isNotEqualTo(Optional.of(ResultCode.OVER_LIMIT)));
    }

    @Test
    void should_log_refusals_once_a_second_and_count_them_for_each_customer() {
        start(10);
        List<ForwardingOutput.Refuse> refused = callFor(10_000);
        List<ForwardingOutput.LogEvent> lines = fixture.all(ForwardingOutput.LogEvent.class).stream()
                .filter(line -> line.message().equals("Requests exceed their customer's limit."))
                .toList();
        assertThat(lines.size()).isBetween(5, 10);
        assertThat(lines.getLast().fields())
                .containsEntry("customer", new CustomerId("hot"))
                .containsEntry("limitPerSecond", 10L)
                .containsEntry("configuration", 1L)
                .containsKeys("used", "ownPerSecond", "refused");
        assertThat(fixture.all(ForwardingOutput.Count.class))
                .filteredOn(new ForwardingOutput.Count("requests.over-limit-of.hot")::equals)
                .hasSameSizeAs(refused);
    }

    @Test
    void should_not_count_requests_whose_callers_leave_before_they_are_sent() {
        start(10);
        fixture.remove("servers/r-1");
        fixture.remove("servers/r-2");
        fixture.advanceTime(100);
        for (int number = 0; number < 400; number++) {
            RequestId request = fixture.call("/read/" + number);
            assertThat(fixture.sends(request)).isEmpty();
            assertThat(fixture.refusal(request).map(ForwardingOutput.Refuse::code))
                    .isNotEqualTo(Optional.of(ResultCode.OVER_LIMIT));
            fixture.tick(new ForwardingInput.CallerDisconnected(request));
            fixture.advanceTime(80);
        }
    }

    @Test
    void should_count_a_key_for_the_customer_to_which_it_was_moved() {
        start(10);
        callFor(8_000);
        fixture.put("configuration", configuration(2, Optional.of(limit(10)), OTHER_KEY, ForwardingFixture.KEY));
        fixture.advanceTime(100);
        assertThat(callFor(2_000)).isEmpty();
        int refused = 0;
        for (int number = 0; number < 100; number++) {
            RequestId request = fixture.call("/read/1", OTHER_KEY, List.of());
            refused += fixture.refusal(request).isPresent() ? 1 : 0;
            fixture.advanceTime(20);
        }
        assertThat(refused).isGreaterThan(60);
    }

    @Test
    void should_keep_the_limit_while_the_store_is_down() {
        start(10);
        callFor(4_000);
        fixture.storeAnswers = false;
        assertThat(callFor(16_000).size()).isBetween(16_000 / 20 - 16 * 10 - 20, 16_000 / 20 - 16 * 9);
    }
}
