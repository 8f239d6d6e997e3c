package org.fuchsiatrail.internal.access;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.ApiKeys;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.internal.store.Digests;

/**
 * Finds the customer behind an API key, and what the configuration lets it use.
 *
 * <p>A key is {@code customer.secret}; the configuration holds {@code salt:sha256(salt, key)}.
 */
public final class CustomerAccess {

    private Map<String, Intent.Customer> customers = Map.of();
    private Map<ModelVersion, Intent.Model> models = Map.of();
    private Map<String, Intent.Scope> scopes = Map.of();
    private Map<String, Intent.Service> services = Map.of();

    /**
     * Takes a configuration.
     *
     * @param intent the configuration
     */
    public void configure(Intent intent) {
        Map<String, Intent.Customer> freshCustomers = new HashMap<>();
        intent.customers().forEach(customer -> freshCustomers.put(customer.id(), customer));
        Map<ModelVersion, Intent.Model> freshModels = new HashMap<>();
        intent.models().forEach(model -> freshModels.put(model.version(), model));
        Map<String, Intent.Scope> freshScopes = new HashMap<>();
        intent.scopes().forEach(scope -> freshScopes.put(scope.name(), scope));
        Map<String, Intent.Service> freshServices = new HashMap<>();
        intent.services().forEach(service -> freshServices.put(service.name(), service));
        customers = freshCustomers;
        models = freshModels;
        scopes = freshScopes;
        services = freshServices;
    }

    /**
     * Finds the customer of a key.
     *
     * @param apiKey the key that a caller sent
     * @return the customer, or nothing when the key is wrong
     */
    public Optional<Intent.Customer> authenticate(String apiKey) {
        int separator = apiKey.indexOf('.');
        if (separator <= 0) {
            return Optional.empty();
        }
        Intent.Customer customer = customers.get(apiKey.substring(0, separator));
        if (customer == null || customer.keyHash() == null) {
            return Optional.empty();
        }
        String hash = customer.keyHash();
        String computed = ApiKeys.hash(hash.substring(0, Math.max(0, hash.indexOf(':'))), apiKey);
        return Digests.constantTimeEquals(computed, hash) ? Optional.of(customer) : Optional.empty();
    }

    /**
     * Returns a customer.
     *
     * @param id its name
     * @return the customer, or nothing
     */
    public Optional<Intent.Customer> customer(CustomerId id) {
        return Optional.ofNullable(customers.get(id.value()));
    }

    /**
     * Finds the model version that a customer means.
     *
     * @param customer the customer
     * @param asked a name, or a name with weights
     * @param adapter the adapter, or an empty text
     * @return the version, or nothing when the customer may not use it
     */
    public Optional<ModelVersion> model(Intent.Customer customer, String asked, String adapter) {
        for (String allowed : customer.models()) {
            ModelVersion version = ModelVersion.parse(allowed);
            Intent.Model model = models.get(version);
            boolean meant = allowed.equals(asked) || version.name().equals(asked);
            boolean adapted =
                    adapter.isEmpty() || model != null && model.adapters().contains(adapter);
            if (model != null && meant && adapted) {
                return Optional.of(version);
            }
        }
        return Optional.empty();
    }

    /**
     * Tells whether a customer may use a model version now.
     *
     * @param id the customer
     * @param model the model version
     * @return true when the configuration in force says so
     */
    public boolean mayUse(CustomerId id, ModelVersion model) {
        Intent.Customer customer = customers.get(id.value());
        return customer != null
                && models.containsKey(model)
                && customer.models().contains(model.toString());
    }

    /**
     * Tells whether a customer may use a shared cache scope.
     *
     * @param customer the customer
     * @param scope the scope
     * @return true when an intent says so
     */
    public boolean mayShare(Intent.Customer customer, String scope) {
        Intent.Scope shared = scopes.get(scope);
        return shared != null && shared.customers().contains(customer.id());
    }

    /**
     * Returns a service.
     *
     * @param name its name
     * @return the service, or nothing
     */
    public Optional<Intent.Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Tells whether a call must not be repeated.
     *
     * @param service the service
     * @param method the HTTP method
     * @param path the path below the service
     * @return true when an intent says so; a call that no intent names and that is no safe method is not repeated
     */
    public static boolean isDeclaredNotIdempotent(Intent.Service service, String method, String path) {
        for (String call : service.notIdempotent()) {
            int separator = call.indexOf(' ');
            if (call.substring(0, separator).equals(method) && path.startsWith(call.substring(separator + 1))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Tells whether a method may be repeated by its definition in HTTP.
     *
     * @param method the method
     * @return true for GET, HEAD, OPTIONS, PUT and DELETE
     */
    public static boolean isIdempotentMethod(String method) {
        return List.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE").contains(method);
    }
}
