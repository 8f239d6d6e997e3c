package org.fuchsiatrail.internal.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

import org.fuchsiatrail.Intent;

/** Says in words what a new intent would change. */
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
     * @param after the intent wanted
     * @return one sentence an effect
     */
    public static List<String> effects(Intent before, Intent after) {
        IntentComparison comparison = new IntentComparison(before, after);
        comparison.compareCustomers();
        comparison.compareModels();
        comparison.compareUpstreams();
        comparison.compareServices();
        comparison.compareScopes();
        comparison.findRefusals();
        if (comparison.effects.isEmpty()) {
            comparison.effects.add("Nothing changes.");
        }
        return List.copyOf(comparison.effects);
    }

    private void compareCustomers() {
        Map<String, Intent.Customer> old = byName(before.customers(), Intent.Customer::id);
        Map<String, Intent.Customer> fresh = byName(after.customers(), Intent.Customer::id);
        for (Intent.Customer customer : fresh.values()) {
            Intent.Customer known = old.get(customer.id());
            List<String> had = known == null ? List.of() : known.models();
            if (known == null) {
                effects.add("Customer " + customer.id() + " joins with share " + customer.share() + ".");
            }
            customer.models().stream()
                    .filter(model -> !had.contains(model))
                    .forEach(model -> effects.add("Customer " + customer.id() + " gains " + model + "."));
            had.stream()
                    .filter(model -> !customer.models().contains(model))
                    .forEach(model -> effects.add("Customer " + customer.id() + " loses " + model + "."));
            if (known != null) {
                compareLimits(known, customer);
            }
        }
        old.keySet().stream()
                .filter(id -> !fresh.containsKey(id))
                .forEach(id -> effects.add("Customer " + id + " leaves; its requests are refused with code 1002."));
    }

    private void compareLimits(Intent.Customer known, Intent.Customer customer) {
        if (known.share() != customer.share()) {
            effects.add("Customer " + customer.id() + " changes its share from " + known.share() + " to "
                    + customer.share() + ".");
        }
        if (known.priority() != customer.priority()) {
            effects.add("Customer " + customer.id() + " changes its priority from " + known.priority() + " to "
                    + customer.priority() + ".");
        }
        if (!Objects.equals(known.keyHash(), customer.keyHash())) {
            effects.add("Customer " + customer.id() + " gets a new API key; the old one is refused.");
        }
    }

    private void compareModels() {
        Map<String, Intent.Model> old =
                byName(before.models(), model -> model.version().toString());
        Map<String, Intent.Model> fresh =
                byName(after.models(), model -> model.version().toString());
        fresh.keySet().stream()
                .filter(name -> !old.containsKey(name))
                .forEach(name -> effects.add("Model " + name + " may be served."));
        old.keySet().stream()
                .filter(name -> !fresh.containsKey(name))
                .forEach(name -> effects.add("Model " + name + " may no longer be served."));
        fresh.forEach((name, model) -> {
            Intent.Model known = old.get(name);
            if (known != null && !known.adapters().equals(model.adapters())) {
                effects.add("Model " + name + " allows adapters " + model.adapters() + " instead of " + known.adapters()
                        + ".");
            }
        });
    }

    private void compareUpstreams() {
        Map<String, Intent.Upstream> old = byName(before.upstreams(), Intent.Upstream::id);
        Map<String, Intent.Upstream> fresh = byName(after.upstreams(), Intent.Upstream::id);
        for (Intent.Upstream upstream : fresh.values()) {
            Intent.Upstream known = old.get(upstream.id());
            String name = "Upstream " + upstream.id();
            if (known == null) {
                effects.add(name + " joins in " + upstream.failureDomain() + " and serves " + upstream.serves() + ".");
                continue;
            }
            if (known.draining() != upstream.draining()) {
                effects.add(name + (upstream.draining() ? " drains: no new work." : " takes work again."));
            }
            if (!known.address().equals(upstream.address())) {
                effects.add(name + " moves from " + known.address() + " to " + upstream.address() + ".");
            }
            if (!known.serves().equals(upstream.serves())) {
                effects.add(name + " serves " + upstream.serves() + " instead of " + known.serves() + ".");
            }
        }
        old.keySet().stream()
                .filter(id -> !fresh.containsKey(id))
                .forEach(id -> effects.add("Upstream " + id + " is removed; its running work finishes."));
    }

    private void compareServices() {
        Map<String, Intent.Service> old = byName(before.services(), Intent.Service::name);
        Map<String, Intent.Service> fresh = byName(after.services(), Intent.Service::name);
        for (Intent.Service service : fresh.values()) {
            Intent.Service known = old.get(service.name());
            if (known == null) {
                effects.add("Service " + service.name() + " joins; not idempotent: " + service.notIdempotent() + ".");
            } else if (!known.notIdempotent().equals(service.notIdempotent())) {
                effects.add("Service " + service.name() + " changes its calls that are not idempotent from "
                        + known.notIdempotent() + " to " + service.notIdempotent() + ".");
            }
        }
        old.keySet().stream()
                .filter(name -> !fresh.containsKey(name))
                .forEach(name -> effects.add("Service " + name + " is removed; its calls are refused with code 1007."));
    }

    private void compareScopes() {
        Map<String, Intent.Scope> old = byName(before.scopes(), Intent.Scope::name);
        for (Intent.Scope scope : after.scopes()) {
            Intent.Scope known = old.remove(scope.name());
            if (known == null || !known.customers().equals(scope.customers())) {
                effects.add("Cache scope " + scope.name() + " is shared by " + scope.customers() + ".");
            }
        }
        old.keySet().forEach(name -> effects.add("Cache scope " + name + " is removed."));
    }

    private void findRefusals() {
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
