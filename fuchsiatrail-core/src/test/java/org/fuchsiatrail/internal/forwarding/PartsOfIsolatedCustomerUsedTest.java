package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;

import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.forwarding.CallerLimits;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.Dispatch;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that use prompt parts of an isolated customer, which it left before it became isolated. */
class PartsOfIsolatedCustomerUsedTest {

    private static final String NORTH = "north";
    private static final String SOUTH = "south";
    private static final String EAST = "east";
    private static final Set<String> ALL = Set.of(NORTH, SOUTH, EAST);
    private static final int STEPS = 400;
    private static final int SUBJECTS = 3;

    /** The customers that left each part in a cache, by salt and part. */
    private final Map<String, Set<String>> makersByPart = new HashMap<>();

    private long lastConfiguration;
    private int lastRequest;

    private record Customers(Set<String> configured, Set<String> isolated) {

        boolean areApart(String first, String second) {
            return !first.equals(second) && (isolated.contains(first) || isolated.contains(second));
        }
    }

    private RoutingTable table(Customers customers) {
        RoutingTable base = ForwardingFixture.table(1);
        return new RoutingTable(
                ++lastConfiguration,
                base.routes(),
                base.services(),
                customers.configured().stream()
                        .map(customer -> new CustomerEntry(
                                new CustomerId(customer),
                                List.of("key-of-" + customer),
                                OptionalInt.empty(),
                                customers.isolated().contains(customer)))
                        .toList(),
                CallerLimits.DEFAULTS);
    }

    private ForwardingFixture router(String name, RoutingTable table) {
        ForwardingFixture router = new ForwardingFixture(name).configured();
        configure(router, table);
        return router.register(router.engine("engine-1", 1))
                .register(router.engine("engine-2", 1))
                .start();
    }

    private static void configure(ForwardingFixture router, RoutingTable table) {
        router.put("configuration", new StoreItemContent.Routing(table));
        router.advanceTime(60);
    }

    private RequestId call(ForwardingFixture router, String customer, int subject) {
        return router.call(
                "/ask/" + ++lastRequest,
                "key-of-" + customer,
                ForwardingFixture.prompt("course", "session-" + subject, "own-" + lastRequest));
    }

    /** Sends a request, which leaves its parts in the cache; returns who left those that it finds there. */
    private Set<String> use(ForwardingFixture router, String customer, int subject) {
        RequestId request = call(router, customer, subject);
        Set<String> makers = leaveParts(router.send(request).dispatch(), customer, subject);
        router.finish(router.send(request));
        return makers;
    }

    private Set<String> leaveParts(Dispatch dispatch, String customer, int subject) {
        Set<String> makers = new HashSet<>();
        for (String part : List.of("course", "session-" + subject)) {
            Set<String> known = makersByPart.computeIfAbsent(dispatch.cacheSalt() + "|" + part, key -> new HashSet<>());
            makers.addAll(known);
            known.add(customer);
        }
        return makers;
    }

    private String salt(ForwardingFixture router, String customer) {
        RequestId request = call(router, customer, 1);
        String salt = router.send(request).dispatch().cacheSalt();
        router.finish(router.send(request));
        return salt;
    }

    @Test
    void should_not_use_parts_that_a_customer_left_before_it_became_isolated() {
        ForwardingFixture router = router("vm-1", table(new Customers(ALL, Set.of())));
        use(router, NORTH, 1);
        configure(router, table(new Customers(ALL, Set.of(NORTH))));
        assertThat(use(router, SOUTH, 1)).isEmpty();
        assertThat(use(router, NORTH, 1)).isEmpty();
        assertThat(use(router, EAST, 1)).containsExactly(SOUTH);
    }

    @Test
    void should_not_use_parts_that_a_customer_left_between_two_isolations() {
        ForwardingFixture router = router("vm-1", table(new Customers(ALL, Set.of(NORTH))));
        use(router, SOUTH, 1);
        configure(router, table(new Customers(ALL, Set.of())));
        use(router, NORTH, 1);
        configure(router, table(new Customers(ALL, Set.of(NORTH))));
        assertThat(use(router, EAST, 1)).containsExactly(SOUTH);
    }

    @Test
    void should_not_use_parts_of_a_customer_that_was_removed_and_came_back_isolated() {
        ForwardingFixture router = router("vm-1", table(new Customers(ALL, Set.of())));
        use(router, NORTH, 1);
        configure(router, table(new Customers(Set.of(SOUTH, EAST), Set.of())));
        use(router, SOUTH, 1);
        configure(router, table(new Customers(ALL, Set.of(NORTH))));
        assertThat(use(router, SOUTH, 1)).isEmpty();
        assertThat(use(router, NORTH, 1)).isEmpty();
    }

    @Test
    void should_use_the_same_salts_at_a_router_that_has_only_seen_the_newest_configuration() {
        ForwardingFixture router = router("vm-1", table(new Customers(ALL, Set.of(EAST))));
        configure(router, table(new Customers(ALL, Set.of())));
        RoutingTable newest = table(new Customers(ALL, Set.of(NORTH)));
        configure(router, newest);
        ForwardingFixture later = router("vm-2", newest);
        for (String customer : ALL) {
            assertThat(salt(later, customer)).isEqualTo(salt(router, customer));
        }
    }

    @Test
    void should_keep_all_salts_when_a_change_touches_no_isolation() {
        ForwardingFixture router = router("vm-1", table(new Customers(Set.of(NORTH, SOUTH), Set.of(NORTH))));
        String shared = salt(router, SOUTH);
        String isolated = salt(router, NORTH);
        configure(router, table(new Customers(ALL, Set.of(NORTH))));
        assertThat(salt(router, SOUTH)).isEqualTo(shared);
        assertThat(salt(router, EAST)).isEqualTo(shared);
        assertThat(salt(router, NORTH)).isEqualTo(isolated);
        configure(router, table(new Customers(Set.of(NORTH, EAST), Set.of(NORTH))));
        assertThat(salt(router, EAST)).isEqualTo(shared);
    }

    /** The only engine breaks the streams off; they wait for the next one while the configuration changes. */
    @Test
    void should_continue_a_stream_that_waited_under_the_salt_of_the_newest_configuration() {
        ForwardingFixture router = new ForwardingFixture().configured();
        configure(router, table(new Customers(ALL, Set.of())));
        router.register(router.engine("engine-1", 1)).start();
        List<RequestId> requests = List.of(call(router, NORTH, 1), call(router, SOUTH, 1));
        requests.forEach(request -> {
            router.started(router.send(request));
            router.lost(router.send(request), true, "7");
        });
        RoutingTable newest = table(new Customers(ALL, Set.of(NORTH)));
        configure(router, newest);
        router.register(router.engine("engine-2", 1));
        router.advanceTime(300);
        requests.forEach(request -> assertThat(router.sends(request)).hasSize(2));
        assertThat(router.send(requests.getFirst()).dispatch().cacheSalt()).isEqualTo("w1/" + NORTH);
        assertThat(router.send(requests.getLast()).dispatch().cacheSalt())
                .isEqualTo(salt(router("vm-2", newest), SOUTH))
                .isNotEqualTo("w1");
    }

    @Test
    void should_send_a_second_attempt_under_the_salt_of_the_newest_configuration() {
        ForwardingFixture router = router("vm-1", table(new Customers(ALL, Set.of())));
        RequestId ofNorth = call(router, NORTH, 1);
        RequestId ofSouth = call(router, SOUTH, 1);
        configure(router, table(new Customers(ALL, Set.of(NORTH))));
        router.answerNotExecuted(router.sends(ofNorth).getFirst());
        router.answerNotExecuted(router.sends(ofSouth).getFirst());
        router.advanceTime(1_000);
        assertThat(router.sends(ofNorth).getLast().dispatch().cacheSalt()).isEqualTo("w1/" + NORTH);
        assertThat(router.sends(ofSouth).getLast().dispatch().cacheSalt()).isEqualTo(salt(router, SOUTH));
        assertThat(router.sends(ofSouth)).hasSizeGreaterThan(1);
    }

    @Test
    void should_isolate_a_customer_that_is_listed_twice_and_isolated_once() {
        RoutingTable base = table(new Customers(Set.of(NORTH, SOUTH), Set.of(NORTH)));
        List<CustomerEntry> customers = new ArrayList<>(base.customers());
        customers.add(new CustomerEntry(new CustomerId(NORTH), List.of("key-of-" + EAST), OptionalInt.empty(), false));
        RoutingTable twice = new RoutingTable(9, base.routes(), base.services(), customers, CallerLimits.DEFAULTS);
        assertThat(salt(router("vm-1", twice), EAST)).isEqualTo("w1/" + NORTH);
    }

    @Test
    void should_separate_an_isolated_customer_on_an_engine_whose_weights_are_not_known() {
        ForwardingFixture router = new ForwardingFixture();
        configure(router, table(new Customers(ALL, Set.of(NORTH))));
        router.register(ForwardingFixture.entry("engine-1", "tutors", 64, Map.of(), false, 1))
                .start();
        assertThat(salt(router, NORTH)).isNotEqualTo(salt(router, SOUTH)).isNotEmpty();
    }

    /** Two routers apply each change at different moments; a third one starts late. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void should_keep_isolated_customers_apart_in_random_changes(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Customers> changes = new ArrayList<>(List.of(new Customers(ALL, Set.of())));
        List<RoutingTable> tables = new ArrayList<>(List.of(table(changes.getFirst())));
        List<ForwardingFixture> routers =
                new ArrayList<>(List.of(router("vm-1", tables.getFirst()), router("vm-2", tables.getFirst())));
        List<Integer> applied = new ArrayList<>(List.of(0, 0));
        for (int step = 0; step < STEPS; step++) {
            if (random.nextInt(20) == 0) {
                changes.add(randomCustomers(random));
                tables.add(table(changes.getLast()));
            }
            if (step == STEPS / 2) {
                routers.add(router("vm-3", tables.getLast()));
                applied.add(tables.size() - 1);
            }
            int index = random.nextInt(routers.size());
            if (random.nextInt(8) == 0) {
                configure(routers.get(index), tables.getLast());
                applied.set(index, tables.size() - 1);
            }
            Customers seen = changes.get(applied.get(index));
            String customer = List.copyOf(seen.configured())
                    .get(random.nextInt(seen.configured().size()));
            Set<String> makers = use(routers.get(index), customer, random.nextInt(SUBJECTS));
            assertThat(makers)
                    .as("whose parts %s uses in step %d under %s", customer, step, seen)
                    .noneMatch(maker -> seen.areApart(customer, maker));
        }
    }

    private static Customers randomCustomers(SplittableRandom random) {
        Set<String> configured = new HashSet<>(Set.of(EAST));
        Set<String> isolated = new HashSet<>();
        for (String customer : List.of(NORTH, SOUTH, EAST)) {
            if (random.nextInt(4) > 0) {
                configured.add(customer);
            }
            if (configured.contains(customer) && random.nextInt(3) == 0) {
                isolated.add(customer);
            }
        }
        return new Customers(Set.copyOf(configured), Set.copyOf(isolated));
    }
}
