package org.fuchsiatrail.internal.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fuchsiatrail.Intent;

/** Validates an intent on its own, without the configuration in force. */
public final class IntentValidator {

    private final List<String> faults = new ArrayList<>();
    private final Set<String> versions = new HashSet<>();
    private final Set<String> customers = new HashSet<>();
    private final Set<String> services = new HashSet<>();

    private IntentValidator() {}

    /**
     * Validates an intent.
     *
     * @param intent the intent
     * @return one message per fault; empty when the intent may be confirmed
     */
    public static List<String> faults(Intent intent) {
        IntentValidator validator = new IntentValidator();
        validator.checkModels(intent);
        validator.checkCustomers(intent);
        validator.checkServices(intent);
        validator.checkUpstreams(intent);
        validator.checkScopes(intent);
        return List.copyOf(validator.faults);
    }

    private void checkModels(Intent intent) {
        for (int index = 0; index < intent.models().size(); index++) {
            Intent.Model model = intent.models().get(index);
            String path = "models[" + index + "]";
            boolean named = requireText(path + ".name", model.name()) & requireText(path + ".weights", model.weights());
            if (named && !versions.add(model.name() + "@" + model.weights())) {
                faults.add(path + ": " + model.name() + "@" + model.weights() + " is listed twice. Remove one entry.");
            }
        }
    }

    private void checkCustomers(Intent intent) {
        for (int index = 0; index < intent.customers().size(); index++) {
            Intent.Customer customer = intent.customers().get(index);
            String path = "customers[" + index + "]";
            if (requireText(path + ".id", customer.id()) && !customers.add(customer.id())) {
                faults.add(path + ".id: '" + customer.id() + "' is listed twice. Remove one entry.");
            }
            if (customer.id() != null && customer.id().contains(".")) {
                faults.add(path + ".id: '" + customer.id()
                        + "' must not contain a dot. Expected: letters, digits and hyphens.");
            }
            if (customer.keyHash() == null || !customer.keyHash().matches("[0-9a-f]{8,}:[0-9a-f]{64}")) {
                faults.add(path
                        + ".keyHash: must have the form salt:sha256. Create one with 'fuchsiatrail key CUSTOMER'.");
            }
            if (customer.priority() < 0 || customer.priority() > 9) {
                faults.add(path + ".priority: " + customer.priority() + " is out of range. Expected: 0 to 9.");
            }
            for (String model : customer.models()) {
                if (!versions.contains(model)) {
                    faults.add(path + ".models: '" + model + "' is not listed under models. Expected one of "
                            + sorted(versions));
                }
            }
        }
    }

    private void checkServices(Intent intent) {
        for (int index = 0; index < intent.services().size(); index++) {
            Intent.Service service = intent.services().get(index);
            String path = "services[" + index + "]";
            if (requireText(path + ".name", service.name()) && !services.add(service.name())) {
                faults.add(path + ".name: '" + service.name() + "' is listed twice. Remove one entry.");
            }
            for (String call : service.notIdempotent()) {
                if (!call.matches("[A-Z]+ /\\S*")) {
                    faults.add(path + ".notIdempotent: '" + call
                            + "' must have the form METHOD /path. Example: POST /certificates");
                }
            }
        }
    }

    private void checkUpstreams(Intent intent) {
        Set<String> ids = new HashSet<>();
        for (int index = 0; index < intent.upstreams().size(); index++) {
            Intent.Upstream upstream = intent.upstreams().get(index);
            String path = "upstreams[" + index + "]";
            if (requireText(path + ".id", upstream.id()) && !ids.add(upstream.id())) {
                faults.add(path + ".id: '" + upstream.id() + "' is listed twice. Remove one entry.");
            }
            requireText(path + ".failureDomain", upstream.failureDomain());
            if (upstream.address() == null || !upstream.address().matches("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}")) {
                faults.add(path + ".address: '" + upstream.address()
                        + "' must have the form IP:PORT. Example: 10.0.0.5:8000");
            }
            Set<String> allowed = upstream.kind() == Intent.UpstreamKind.ENGINE ? versions : services;
            for (String served : upstream.serves()) {
                if (!allowed.contains(served)) {
                    faults.add(path + ".serves: '" + served + "' is unknown. Expected one of " + sorted(allowed));
                }
            }
        }
    }

    private void checkScopes(Intent intent) {
        Set<String> names = new HashSet<>();
        for (int index = 0; index < intent.scopes().size(); index++) {
            Intent.Scope scope = intent.scopes().get(index);
            String path = "scopes[" + index + "]";
            if (requireText(path + ".name", scope.name()) && !names.add(scope.name())) {
                faults.add(path + ".name: '" + scope.name() + "' is listed twice. Remove one entry.");
            }
            for (String customer : scope.customers()) {
                if (!customers.contains(customer)) {
                    faults.add(
                            path + ".customers: '" + customer + "' is unknown. Expected one of " + sorted(customers));
                }
            }
        }
    }

    private boolean requireText(String path, String value) {
        if (value == null || value.isBlank()) {
            faults.add(path + ": a value is required.");
            return false;
        }
        return true;
    }

    private static List<String> sorted(Set<String> names) {
        return names.stream().sorted().toList();
    }
}
