package org.fuchsiatrail.internal.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

import org.fuchsiatrail.Intent;

/** Describes the effects of replacing one intent by another, as sentences for operators. */
public final class IntentComparison {

    private final List<String> effects = new ArrayList<>();
    private final Intent before;
    private final Intent after;

    private IntentComparison(Intent before, Intent after) {
        this.before = before;
        this.after = after;
    }

    /**
     * Compares two intents.
     *
     * @param before the intent in force
     * @param after the new intent
     * @return one sentence per effect
     */
    public static List<String> effects(Intent before, Intent after) {
        IntentComparison comparison = new IntentComparison(before, after);
        comparison.compareCustomers();
        comparison.compareModels();
        comparison.compareUpstreams();
        comparison.compareServices();
        comparison.compareScopes();
        comparison.compareAvailability();
        if (comparison.effects.isEmpty()) {
            comparison.effects.add("Nothing changes.");
        }
        return List.copyOf(comparison.effects);
    }

    private void compareCustomers() {
        Map<String, Intent.Customer> oldCustomers = byName(before.customers(), Intent.Customer::id);
        Map<String, Intent.Customer> newCustomers = byName(after.customers(), Intent.Customer::id);
        for (Intent.Customer customer : newCustomers.values()) {
            Intent.Customer previous = oldCustomers.get(customer.id());
            List<String> previousModels = previous == null ? List.of() : previous.models();
            if (previous == null) {
                effects.add("Customer " + customer.id() + " joins with share " + customer.share() + ".");
            }
            customer.models().stream()
                    .filter(model -> !previousModels.contains(model))
                    .forEach(model -> effects.add("Customer " + customer.id() + " gains " + model + "."));
            previousModels.stream()
                    .filter(model -> !customer.models().contains(model))
                    .forEach(model -> effects.add("Customer " + customer.id() + " loses " + model + "."));
            if (previous != null) {
                compareLimits(previous, customer);
            }
        }
        oldCustomers.keySet().stream()
                .filter(id -> !newCustomers.containsKey(id))
                .forEach(id -> effects.add("Customer " + id + " leaves; its requests are refused with code 1002."));
    }

    private void compareLimits(Intent.Customer previous, Intent.Customer customer) {
        if (previous.share() != customer.share()) {
            effects.add("Customer " + customer.id() + " changes its share from " + previous.share() + " to "
                    + customer.share() + ".");
        }
        if (previous.priority() != customer.priority()) {
            effects.add("Customer " + customer.id() + " changes its priority from " + previous.priority() + " to "
                    + customer.priority() + ".");
        }
        if (!Objects.equals(previous.keyHash(), customer.keyHash())) {
            effects.add("Customer " + customer.id() + " gets a new API key; the old one is refused.");
        }
    }

    private void compareModels() {
        Map<String, Intent.Model> oldModels =
                byName(before.models(), model -> model.version().toString());
        Map<String, Intent.Model> newModels =
                byName(after.models(), model -> model.version().toString());
        newModels.keySet().stream()
                .filter(name -> !oldModels.containsKey(name))
                .forEach(name -> effects.add("Model " + name + " may be served."));
        oldModels.keySet().stream()
                .filter(name -> !newModels.containsKey(name))
                .forEach(name -> effects.add("Model " + name + " may no longer be served."));
        newModels.forEach((name, model) -> {
            Intent.Model previous = oldModels.get(name);
            if (previous != null && !previous.adapters().equals(model.adapters())) {
                effects.add("Model " + name + " allows adapters " + model.adapters() + " instead of "
                        + previous.adapters() + ".");
            }
        });
    }

    private void compareUpstreams() {
        Map<String, Intent.Upstream> oldUpstreams = byName(before.upstreams(), Intent.Upstream::id);
        Map<String, Intent.Upstream> newUpstreams = byName(after.upstreams(), Intent.Upstream::id);
        for (Intent.Upstream upstream : newUpstreams.values()) {
            Intent.Upstream previous = oldUpstreams.get(upstream.id());
            String name = "Upstream " + upstream.id();
            if (previous == null) {
                effects.add(name + " joins in " + upstream.failureDomain() + " and serves " + upstream.serves() + ".");
                continue;
            }
            if (previous.draining() != upstream.draining()) {
                effects.add(name + (upstream.draining() ? " drains: no new work." : " takes work again."));
            }
            if (!previous.address().equals(upstream.address())) {
                effects.add(name + " moves from " + previous.address() + " to " + upstream.address() + ".");
            }
            if (!previous.serves().equals(upstream.serves())) {
                effects.add(name + " serves " + upstream.serves() + " instead of " + previous.serves() + ".");
            }
        }
        oldUpstreams.keySet().stream()
                .filter(id -> !newUpstreams.containsKey(id))
                .forEach(id -> effects.add("Upstream " + id + " is removed; its running work finishes."));
    }

    private void compareServices() {
        Map<String, Intent.Service> oldServices = byName(before.services(), Intent.Service::name);
        Map<String, Intent.Service> newServices = byName(after.services(), Intent.Service::name);
        for (Intent.Service service : newServices.values()) {
            Intent.Service previous = oldServices.get(service.name());
            if (previous == null) {
                effects.add("Service " + service.name() + " joins; not idempotent: " + service.notIdempotent() + ".");
            } else if (!previous.notIdempotent().equals(service.notIdempotent())) {
                effects.add("Service " + service.name() + " changes its calls that are not idempotent from "
                        + previous.notIdempotent() + " to " + service.notIdempotent() + ".");
            }
        }
        oldServices.keySet().stream()
                .filter(name -> !newServices.containsKey(name))
                .forEach(name -> effects.add("Service " + name + " is removed; its calls are refused with code 1007."));
    }

    private void compareScopes() {
        Map<String, Intent.Scope> oldScopes = byName(before.scopes(), Intent.Scope::name);
        for (Intent.Scope scope : after.scopes()) {
            Intent.Scope previous = oldScopes.remove(scope.name());
            if (previous == null || !previous.customers().equals(scope.customers())) {
                effects.add("Cache scope " + scope.name() + " is shared by " + scope.customers() + ".");
            }
        }
        oldScopes.keySet().forEach(name -> effects.add("Cache scope " + name + " is removed."));
    }

    private void compareAvailability() {
        for (Intent.Customer customer : after.customers()) {
            for (String model : customer.models()) {
                boolean served = after.upstreams().stream()
                        .anyMatch(upstream ->
                                !upstream.draining() && upstream.serves().contains(model));
                if (!served) {
                    effects.add("Customer " + customer.id() + " would be refused " + model
                            + " with code 2002: no upstream that stays serves it.");
                }
            }
        }
    }

    private static <T> Map<String, T> byName(List<T> items, Function<T, String> name) {
        Map<String, T> named = new LinkedHashMap<>();
        items.forEach(item -> named.put(name.apply(item), item));
        return named;
    }
}
