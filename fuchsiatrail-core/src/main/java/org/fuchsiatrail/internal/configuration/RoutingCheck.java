package org.fuchsiatrail.internal.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.fuchsiatrail.ConfigurationFinding;
import org.fuchsiatrail.ConfigurationFinding.Severity;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.forwarding.CallerLimits;
import org.fuchsiatrail.forwarding.CustomerEntry;
import org.fuchsiatrail.forwarding.CustomerLimit;
import org.fuchsiatrail.forwarding.Route;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;

/** Finds entries of a routing configuration that never match or contradict each other. */
public final class RoutingCheck {

    private final RoutingTable table;
    private final List<ConfigurationFinding> findings = new ArrayList<>();

    private RoutingCheck(RoutingTable table) {
        this.table = table;
    }

    /** Returns what is found in a configuration. */
    public static List<ConfigurationFinding> findings(RoutingTable table) {
        RoutingCheck check = new RoutingCheck(table);
        check.checkRoutes();
        check.checkServices();
        check.checkCustomers();
        check.checkLimits(table.limits());
        return List.copyOf(check.findings);
    }

    private void add(Severity severity, String where, String text) {
        findings.add(new ConfigurationFinding(severity, where, text));
    }

    private void warn(String where, String text) {
        add(Severity.WARNING, where, text);
    }

    private void checkRoutes() {
        Map<List<String>, String> firstByMatch = new HashMap<>();
        for (Route route : table.routes()) {
            String where = "route " + route.name();
            String first = firstByMatch.putIfAbsent(List.of(route.host(), route.pathPrefix()), route.name());
            if (first != null) {
                warn(where, "never matches: route " + first + " has the same host and prefix and comes first.");
            }
            checkTargets(where, route.targets());
            checkTimes(where, route);
        }
    }

    private void checkTargets(String where, List<Route.Target> targets) {
        for (Route.Target target : targets) {
            if (table.service(target.service()).isEmpty()) {
                add(Severity.ERROR, where, "leads to service " + target.service() + ", which does not exist.");
            }
            if (target.weight() == 0 && targets.size() > 1) {
                warn(where, "sends nothing to service " + target.service() + ", whose weight is 0.");
            }
        }
        if (targets.stream().allMatch(target -> target.weight() == 0)) {
            add(Severity.ERROR, where, "has no target with a weight above 0.");
        }
    }

    private void checkTimes(String where, Route route) {
        if (route.timeoutMillis() < route.latencyTargetMillis()) {
            warn(
                    where,
                    "ends requests after " + route.timeoutMillis() + " ms, before the latency target of "
                            + route.latencyTargetMillis() + " ms.");
        }
        if (route.maximumAttempts() < 1) {
            warn(where, "allows no attempt; requests are sent once all the same.");
        }
        if (route.resumable() && route.maximumAttempts() < 2) {
            warn(where, "is resumable, but allows no second attempt; streams are never resumed.");
        }
    }

    private void checkServices() {
        Map<String, ServiceDefinition> seen = new HashMap<>();
        for (ServiceDefinition service : table.services()) {
            String where = "service " + service.name();
            if (seen.put(service.name(), service) != null) {
                warn(where, "is listed twice; only the last entry applies.");
            }
            boolean used = table.routes().stream().anyMatch(route -> route.leadsTo(service.name()));
            if (!used && service.kvCacheStore().isEmpty()) {
                warn(where, "is the target of no route.");
            }
        }
    }

    private void checkCustomers() {
        Map<String, CustomerId> holders = new HashMap<>();
        Map<CustomerId, CustomerEntry> seen = new HashMap<>();
        for (CustomerEntry customer : table.customers()) {
            String where = "customer " + customer.id();
            if (seen.put(customer.id(), customer) != null) {
                warn(where, "is listed twice.");
            }
            if (customer.apiKeys().isEmpty()) {
                warn(where, "has no key; it never matches a request.");
            }
            customer.limit().ifPresent(limit -> checkLimit(where, limit));
            for (String key : customer.apiKeys()) {
                CustomerId holder = holders.put(key, customer.id());
                if (holder != null) {
                    warn(where, "holds a key of customer " + holder + "; its requests count for the last of them.");
                }
            }
        }
    }

    private void checkLimit(String where, CustomerLimit limit) {
        if (limit.perSecond() <= 0 || limit.burst() < 0) {
            add(Severity.ERROR, where, "has a limit of " + limit + "; it must be above 0, and its burst not below.");
            return;
        }
        long smallest = limit.unit() == CustomerLimit.Unit.REQUESTS ? 1 : limit.undescribedTokens();
        if (limit.burst() < smallest) {
            warn(
                    where,
                    "has a burst of " + limit.burst() + ", less than one request (" + smallest
                            + "); requests are refused as soon as two come together.");
        }
        if (limit.unit() == CustomerLimit.Unit.TOKENS && limit.perSecond() < smallest) {
            warn(
                    where,
                    "has a limit of " + limit.perSecond() + " tokens a second, less than one request without token"
                            + " counts (" + smallest + ").");
        }
    }

    private void checkLimits(CallerLimits limits) {
        if (limits.idleTimeoutMillis() < limits.headerTimeoutMillis()) {
            warn(
                    "limits",
                    "close idle connections after " + limits.idleTimeoutMillis() + " ms, before the "
                            + limits.headerTimeoutMillis() + " ms within which headers may arrive.");
        }
        if (limits.headerBytes() <= 0 || limits.bodyBytes() <= 0) {
            add(Severity.ERROR, "limits", "allow no bytes of headers or bodies; all requests are refused.");
        }
    }

    /** Returns one sentence for each route, service, customer and limit that differs. */
    public static List<String> differences(RoutingTable before, RoutingTable after) {
        List<String> differences = new ArrayList<>();
        compare(
                "Route",
                named(before.routes(), route -> route.host() + route.pathPrefix()),
                named(after.routes(), route -> route.host() + route.pathPrefix()),
                differences);
        compare(
                "Service",
                named(before.services(), ServiceDefinition::name),
                named(after.services(), ServiceDefinition::name),
                differences);
        compareCustomers(before, after, differences);
        if (!before.limits().equals(after.limits())) {
            differences.add("Limits change from " + before.limits() + " to " + after.limits() + ".");
        }
        return List.copyOf(differences);
    }

    /** Names the customers only: their entries hold keys, which must not be printed. */
    private static void compareCustomers(RoutingTable before, RoutingTable after, List<String> differences) {
        Map<String, CustomerEntry> olds =
                named(before.customers(), customer -> customer.id().value());
        Map<String, CustomerEntry> news =
                named(after.customers(), customer -> customer.id().value());
        news.forEach((id, customer) -> {
            CustomerEntry old = olds.get(id);
            if (old == null) {
                differences.add("Customer " + id + " is added.");
            } else if (!old.apiKeys().equals(customer.apiKeys())) {
                differences.add("Customer " + id + " changes its keys.");
            } else if (!old.priority().equals(customer.priority()) || old.isolated() != customer.isolated()) {
                differences.add("Customer " + id + " changes what it may do.");
            }
            Optional<CustomerLimit> oldLimit = old == null ? Optional.empty() : old.limit();
            if (!oldLimit.equals(customer.limit())) {
                differences.add("Customer " + id + " changes its limit from " + text(oldLimit) + " to "
                        + text(customer.limit()) + ".");
            }
        });
        olds.keySet().stream()
                .filter(id -> !news.containsKey(id))
                .forEach(id -> differences.add("Customer " + id + " is removed; its keys are refused."));
    }

    private static String text(Optional<CustomerLimit> limit) {
        return limit.map(present -> present.perSecond() + " "
                        + present.unit().name().toLowerCase(Locale.ROOT) + " a second and a burst of "
                        + present.burst())
                .orElse("none");
    }

    private static void compare(String kind, Map<String, ?> before, Map<String, ?> after, List<String> differences) {
        after.forEach((name, entry) -> {
            Object old = before.get(name);
            if (old == null) {
                differences.add(kind + " " + name + " is added.");
            } else if (!old.equals(entry)) {
                differences.add(kind + " " + name + " changes from " + old + " to " + entry + ".");
            }
        });
        before.keySet().stream()
                .filter(name -> !after.containsKey(name))
                .forEach(name -> differences.add(kind + " " + name + " is removed."));
    }

    private static <T> Map<String, T> named(Collection<T> entries, Function<T, String> name) {
        Map<String, T> named = new LinkedHashMap<>();
        entries.forEach(entry -> named.putIfAbsent(name.apply(entry), entry));
        return named;
    }
}
