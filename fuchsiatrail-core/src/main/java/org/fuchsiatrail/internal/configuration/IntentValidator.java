package org.fuchsiatrail.internal.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fuchsiatrail.Intent;

/** Finds every fault of an intent that does not depend on the configuration in force. */
public final class IntentValidator {

    private final List<String> faults = new ArrayList<>();
    private final Set<String> versions = new HashSet<>();
    private final Set<String> customers = new HashSet<>();
    private final Set<String> services = new HashSet<>();

    private IntentValidator() {}

    /**
     * Checks an intent.
     *
     * @param intent the intent
     * @return one message a fault; empty when it may be confirmed
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
            boolean named = required(path + ".name", model.name()) & required(path + ".weights", model.weights());
            if (named && !versions.add(model.name() + "@" + model.weights())) {
                faults.add(path + ": " + model.name() + "@" + model.weights() + " stands twice. Remove one.");
            }
        }
    }

    private void checkCustomers(Intent intent) {
        for (int index = 0; index < intent.customers().size(); index++) {
            Intent.Customer customer = intent.customers().get(index);
            String path = "customers[" + index + "]";
            if (required(path + ".id", customer.id()) && !customers.add(customer.id())) {
                faults.add(path + ".id: '" + customer.id() + "' stands twice. Remove one.");
            }
            if (customer.id() != null && customer.id().contains(".")) {
                faults.add(path + ".id: '" + customer.id() + "' has a dot. Expected: letters, digits and hyphens.");
            }
            if (customer.keyHash() == null || !customer.keyHash().matches("[0-9a-f]{8,}:[0-9a-f]{64}")) {
                faults.add(path + ".keyHash: expected salt:sha256. Make one with 'fuchsiatrail key CUSTOMER'.");
            }
            if (customer.priority() < 0 || customer.priority() > 9) {
                faults.add(path + ".priority: " + customer.priority() + " is out of bounds. Expected: 0 to 9.");
            }
            for (String model : customer.models()) {
                if (!versions.contains(model)) {
                    faults.add(
                            path + ".models: '" + model + "' is not under models. Expected one of " + sorted(versions));
                }
            }
        }
    }

    private void checkServices(Intent intent) {
        for (int index = 0; index < intent.services().size(); index++) {
            Intent.Service service = intent.services().get(index);
            String path = "services[" + index + "]";
            if (required(path + ".name", service.name()) && !services.add(service.name())) {
                faults.add(path + ".name: '" + service.name() + "' stands twice. Remove one.");
            }
            for (String call : service.notIdempotent()) {
                if (!call.matches("[A-Z]+ /\\S*")) {
                    faults.add(path + ".notIdempotent: '" + call + "' is not a call. Expected: POST /certificates");
                }
            }
        }
    }

    private void checkUpstreams(Intent intent) {
        Set<String> ids = new HashSet<>();
        for (int index = 0; index < intent.upstreams().size(); index++) {
            Intent.Upstream upstream = intent.upstreams().get(index);
            String path = "upstreams[" + index + "]";
            if (required(path + ".id", upstream.id()) && !ids.add(upstream.id())) {
                faults.add(path + ".id: '" + upstream.id() + "' stands twice. Remove one.");
            }
            required(path + ".failureDomain", upstream.failureDomain());
            if (upstream.address() == null || !upstream.address().matches("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}")) {
                faults.add(path + ".address: '" + upstream.address() + "' is not IP:port. Expected: 10.0.0.5:8000");
            }
            Set<String> known = upstream.kind() == Intent.UpstreamKind.ENGINE ? versions : services;
            for (String served : upstream.serves()) {
                if (!known.contains(served)) {
                    faults.add(path + ".serves: '" + served + "' is unknown. Expected one of " + sorted(known));
                }
            }
        }
    }

    private void checkScopes(Intent intent) {
        Set<String> names = new HashSet<>();
        for (int index = 0; index < intent.scopes().size(); index++) {
            Intent.Scope scope = intent.scopes().get(index);
            String path = "scopes[" + index + "]";
            if (required(path + ".name", scope.name()) && !names.add(scope.name())) {
                faults.add(path + ".name: '" + scope.name() + "' stands twice. Remove one.");
            }
            for (String customer : scope.customers()) {
                if (!customers.contains(customer)) {
                    faults.add(
                            path + ".customers: '" + customer + "' is unknown. Expected one of " + sorted(customers));
                }
            }
        }
    }

    private boolean required(String path, String value) {
        if (value == null || value.isBlank()) {
            faults.add(path + ": missing. Give it a value.");
            return false;
        }
        return true;
    }

    private static List<String> sorted(Set<String> names) {
        return names.stream().sorted().toList();
    }
}
