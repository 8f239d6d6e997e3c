package org.fuchsiatrail.internal.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.fuchsiatrail.ConfigurationFinding;
import org.fuchsiatrail.ConfigurationFinding.Severity;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.forwarding.CallerLimits;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.CustomerLimit;
import org.fuchsiatrail.forwarding.RequestKind;
import org.fuchsiatrail.forwarding.Route;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a configuration in force whose entries never match or contradict each other. */
class RoutingCheckTest {

    private final List<Route> routes =
            new ArrayList<>(List.of(route("marks", "/mark/", 2, 8_000, target("tutors", 1))));
    private final List<ServiceDefinition> services =
            new ArrayList<>(List.of(new ServiceDefinition("tutors", 100, Optional.empty(), Optional.empty())));
    private final List<CustomerEntry> customers = new ArrayList<>(List.of(customer("school", "key-1")));
    private CallerLimits limits = CallerLimits.DEFAULTS;

    private static Route.Target target(String service, int weight) {
        return new Route.Target(service, weight);
    }

    private static Route route(String name, String prefix, int attempts, long timeoutMillis, Route.Target... targets) {
        return new Route(
                name,
                "example.org",
                prefix,
                RequestKind.STREAM,
                true,
                false,
                true,
                attempts,
                timeoutMillis,
                500,
                5,
                List.of(targets));
    }

    private static CustomerEntry customer(String id, String... keys) {
        return new CustomerEntry(new CustomerId(id), List.of(keys), OptionalInt.empty(), false);
    }

    private RoutingTable table() {
        return new RoutingTable(1, routes, services, customers, limits);
    }

    private void assertFound(Severity severity, String where, String text) {
        assertThat(RoutingCheck.findings(table())).singleElement().satisfies(finding -> {
            assertThat(finding.severity()).isEqualTo(severity);
            assertThat(finding.where()).isEqualTo(where);
            assertThat(finding.text()).contains(text);
        });
    }

    @Test
    void should_find_nothing_in_a_sound_configuration() {
        assertThat(RoutingCheck.findings(table())).isEmpty();
    }

    @Test
    void should_find_a_route_that_an_equal_one_shadows() {
        routes.add(route("later", "/mark/", 2, 8_000, target("tutors", 1)));
        assertFound(Severity.WARNING, "route later", "never matches");
    }

    @Test
    void should_find_a_route_to_a_service_that_is_not_there() {
        routes.add(route("lost", "/lost/", 2, 8_000, target("nobody", 1)));
        assertFound(Severity.ERROR, "route lost", "does not exist");
    }

    @Test
    void should_find_weights_of_0() {
        routes.add(route("split", "/split/", 2, 8_000, target("tutors", 1), target("tutors", 0)));
        assertFound(Severity.WARNING, "route split", "weight is 0");
        routes.set(1, route("split", "/split/", 2, 8_000, target("tutors", 0)));
        assertFound(Severity.ERROR, "route split", "no target");
    }

    @Test
    void should_find_times_and_attempts_that_contradict_each_other() {
        routes.set(0, route("marks", "/mark/", 2, 400, target("tutors", 1)));
        assertFound(Severity.WARNING, "route marks", "before the latency target of 500 ms");
        routes.set(0, route("marks", "/mark/", 1, 8_000, target("tutors", 1)));
        assertFound(Severity.WARNING, "route marks", "never resumed");
        routes.set(0, route("marks", "/mark/", 0, 8_000, target("tutors", 1)));
        assertThat(RoutingCheck.findings(table()))
                .extracting(ConfigurationFinding::text)
                .anyMatch(text -> text.startsWith("allows no attempt"));
    }

    @Test
    void should_find_a_key_that_two_customers_hold_and_a_customer_without_keys() {
        customers.add(customer("college", "key-1"));
        assertFound(Severity.WARNING, "customer college", "key of customer school");
        customers.set(1, customer("college"));
        assertFound(Severity.WARNING, "customer college", "no key");
    }

    @Test
    void should_find_services_that_no_route_leads_to_or_that_are_listed_twice() {
        services.add(new ServiceDefinition("idle", 100, Optional.empty(), Optional.empty()));
        assertFound(Severity.WARNING, "service idle", "no route");
        services.set(1, services.getFirst());
        assertFound(Severity.WARNING, "service tutors", "listed twice");
    }

    @Test
    void should_find_an_idle_timeout_below_the_header_timeout() {
        limits = new CallerLimits(16_384, 1_000_000, 3_000, 1_000);
        assertFound(Severity.WARNING, "limits", "before the 3000 ms");
    }

    @Test
    void should_say_what_differs_without_naming_keys() {
        RoutingTable before = table();
        routes.set(0, route("marks", "/mark/", 3, 8_000, target("tutors", 1)));
        services.add(new ServiceDefinition("records", 100, Optional.empty(), Optional.empty()));
        customers.set(0, customer("school", "key-2"));
        customers.add(customer("college", "key-3"));
        assertThat(RoutingCheck.differences(before, table()))
                .hasSize(4)
                .anyMatch(text -> text.startsWith("Route example.org/mark/ changes from"))
                .contains(
                        "Service records is added.", "Customer school changes its keys.", "Customer college is added.")
                .noneMatch(text -> text.contains("key-"));
        assertThat(RoutingCheck.differences(before, before)).isEmpty();
    }

    private static CustomerEntry limited(long perSecond, long burst) {
        CustomerLimit limit = new CustomerLimit(perSecond, burst, CustomerLimit.Unit.TOKENS, 200);
        return new CustomerEntry(
                new CustomerId("school"), List.of("key-1"), OptionalInt.empty(), false, Optional.of(limit));
    }

    @Test
    void should_find_limits_that_contradict_themselves() {
        customers.set(0, limited(0, 1_000));
        assertFound(Severity.ERROR, "customer school", "must be above 0");
        customers.set(0, limited(1_000, 100));
        assertFound(Severity.WARNING, "customer school", "less than one request (200)");
        customers.set(0, limited(100, 1_000));
        assertFound(Severity.WARNING, "customer school", "less than one request without token counts (200)");
    }

    @Test
    void should_tell_which_limits_change() {
        RoutingTable before = table();
        customers.set(0, limited(1_000, 2_000));
        assertThat(RoutingCheck.differences(before, table()))
                .containsExactly(
                        "Customer school changes its limit from none to 1000 tokens a second and a burst of 2000.");
    }
}
