package org.fuchsiatrail.internal.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiatrail.ConfigurationFinding;
import org.fuchsiatrail.ConfigurationFinding.Severity;
import org.fuchsiatrail.Intent;

/** Finds what is wrong in an intent, and entries of a correct one that never match or contradict each other. */
public final class IntentCheck {

    private static final String PATH_END = ": ";

    private final Intent intent;
    private final List<ConfigurationFinding> findings = new ArrayList<>();

    private IntentCheck(Intent intent) {
        this.intent = intent;
    }

    /** Returns what is found in an intent, errors first. */
    public static List<ConfigurationFinding> findings(Intent intent) {
        IntentCheck check = new IntentCheck(intent);
        IntentValidator.faults(intent).forEach(check::addFault);
        if (check.findings.isEmpty()) {
            check.checkCustomers();
            check.checkModels();
            check.checkServices();
            check.checkUpstreams();
            check.checkScopes();
        }
        return List.copyOf(check.findings);
    }

    private void addFault(String fault) {
        int end = fault.indexOf(PATH_END);
        findings.add(new ConfigurationFinding(
                Severity.ERROR, fault.substring(0, end), fault.substring(end + PATH_END.length())));
    }

    private void warn(String list, int index, String text) {
        findings.add(new ConfigurationFinding(Severity.WARNING, list + "[" + index + "]", text));
    }

    private void checkCustomers() {
        Map<String, String> customersByHash = new HashMap<>();
        for (int index = 0; index < intent.customers().size(); index++) {
            Intent.Customer customer = intent.customers().get(index);
            String other = customersByHash.putIfAbsent(customer.keyHash(), customer.id());
            if (other != null) {
                warn(
                        "customers",
                        index,
                        "'" + customer.id() + "' has the keyHash of '" + other
                                + "'; a key belongs to one customer, so one of them is always refused."
                                + " Create a key with 'fuchsiatrail key CUSTOMER'.");
            }
            if (customer.models().isEmpty() && !intent.models().isEmpty()) {
                warn("customers", index, "'" + customer.id() + "' may use no model; each of its chats is refused.");
            }
        }
    }

    private void checkModels() {
        Set<String> allowed = intent.customers().stream()
                .flatMap(customer -> customer.models().stream())
                .collect(Collectors.toSet());
        for (int index = 0; index < intent.models().size(); index++) {
            String model = intent.models().get(index).version().toString();
            checkServed("models", index, model, Intent.UpstreamKind.ENGINE);
            if (!allowed.contains(model)) {
                warn("models", index, "No customer may use '" + model + "'; it never matches a request.");
            }
        }
    }

    private void checkServices() {
        for (int index = 0; index < intent.services().size(); index++) {
            Intent.Service service = intent.services().get(index);
            checkServed("services", index, service.name(), Intent.UpstreamKind.SERVICE);
            List<String> calls = service.notIdempotent();
            for (int call = 0; call < calls.size(); call++) {
                checkCall(index, calls, call);
            }
        }
    }

    /** Warns of a declared call that another one covers, since its path is a prefix. */
    private void checkCall(int service, List<String> calls, int call) {
        for (int other = 0; other < calls.size(); other++) {
            boolean same = calls.get(other).equals(calls.get(call));
            if (calls.get(call).startsWith(calls.get(other)) && (same ? other < call : other != call)) {
                warn(
                        "services",
                        service,
                        "'" + calls.get(call) + "' under notIdempotent never matches; '" + calls.get(other)
                                + "' covers it.");
                return;
            }
        }
    }

    private void checkServed(String list, int index, String served, Intent.UpstreamKind kind) {
        List<Intent.Upstream> upstreams = intent.upstreams().stream()
                .filter(upstream -> upstream.kind() == kind && upstream.serves().contains(served))
                .toList();
        if (upstreams.isEmpty()) {
            warn(list, index, "No upstream serves '" + served + "'; its requests are refused with code 2002.");
        } else if (upstreams.stream().allMatch(Intent.Upstream::draining)) {
            warn(
                    list,
                    index,
                    "All upstreams that serve '" + served + "' are draining; new requests are refused with code 2002.");
        }
    }

    private void checkUpstreams() {
        Map<String, String> idsByAddress = new HashMap<>();
        for (int index = 0; index < intent.upstreams().size(); index++) {
            Intent.Upstream upstream = intent.upstreams().get(index);
            String other = idsByAddress.putIfAbsent(upstream.address(), upstream.id());
            if (other != null && !Objects.equals(other, upstream.id())) {
                warn(
                        "upstreams",
                        index,
                        "'" + upstream.id() + "' has the address of '" + other
                                + "'; the same server would get the work of two.");
            }
            if (upstream.serves().isEmpty()) {
                warn("upstreams", index, "'" + upstream.id() + "' serves nothing; it never gets a request.");
            }
        }
    }

    private void checkScopes() {
        for (int index = 0; index < intent.scopes().size(); index++) {
            Intent.Scope scope = intent.scopes().get(index);
            if (scope.customers().size() < 2) {
                warn("scopes", index, "'" + scope.name() + "' has fewer than two customers; nothing is shared in it.");
            }
        }
    }
}
