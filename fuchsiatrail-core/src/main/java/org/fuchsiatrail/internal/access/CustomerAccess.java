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
 * Authenticates customers by API key and checks what the configuration permits them to use.
 *
 * <p>An API key has the form {@code customer.secret}; the configuration contains {@code salt:sha256(salt, key)}.
 */
public final class CustomerAccess {

    private Map<String, Intent.Customer> customers = Map.of();
    private Map<ModelVersion, Intent.Model> models = Map.of();
    private Map<String, Intent.Scope> scopes = Map.of();
    private Map<String, Intent.Service> services = Map.of();

    /**
     * Applies a configuration.
     *
     * @param intent the content of the configuration
     */
    public void configure(Intent intent) {
        Map<String, Intent.Customer> newCustomers = new HashMap<>();
        intent.customers().forEach(customer -> newCustomers.put(customer.id(), customer));
        Map<ModelVersion, Intent.Model> newModels = new HashMap<>();
        intent.models().forEach(model -> newModels.put(model.version(), model));
        Map<String, Intent.Scope> newScopes = new HashMap<>();
        intent.scopes().forEach(scope -> newScopes.put(scope.name(), scope));
        Map<String, Intent.Service> newServices = new HashMap<>();
        intent.services().forEach(service -> newServices.put(service.name(), service));
        customers = newCustomers;
        models = newModels;
        scopes = newScopes;
        services = newServices;
    }

    /**
     * Authenticates a caller by API key.
     *
     * @param apiKey the key that the caller sent
     * @return the customer, or empty when the key is invalid
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
     * @param id the id of the customer
     * @return the customer, or empty when the configuration does not contain it
     */
    public Optional<Intent.Customer> customer(CustomerId id) {
        return Optional.ofNullable(customers.get(id.value()));
    }

    /**
     * Resolves the model version that a customer requests.
     *
     * @param customer the customer
     * @param requested the name of a model, or its name with weights
     * @param adapter the name of the adapter, or an empty string
     * @return the version, or empty when the customer may not use it
     */
    public Optional<ModelVersion> model(Intent.Customer customer, String requested, String adapter) {
        for (String allowed : customer.models()) {
            ModelVersion version = ModelVersion.parse(allowed);
            Intent.Model model = models.get(version);
            boolean matches = allowed.equals(requested) || version.name().equals(requested);
            boolean adapterAllowed =
                    adapter.isEmpty() || model != null && model.adapters().contains(adapter);
            if (model != null && matches && adapterAllowed) {
                return Optional.of(version);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a customer may use a model version.
     *
     * @param id the customer
     * @param model the model version
     * @return true when the configuration in force permits it
     */
    public boolean mayUse(CustomerId id, ModelVersion model) {
        Intent.Customer customer = customers.get(id.value());
        return customer != null
                && models.containsKey(model)
                && customer.models().contains(model.toString());
    }

    /**
     * Returns whether a customer may use a shared cache scope.
     *
     * @param customer the customer
     * @param scope the name of the scope
     * @return true when the configuration in force permits it
     */
    public boolean mayShare(Intent.Customer customer, String scope) {
        Intent.Scope shared = scopes.get(scope);
        return shared != null && shared.customers().contains(customer.id());
    }

    /**
     * Returns a service.
     *
     * @param name the name of the service
     * @return the service, or empty when the configuration does not contain it
     */
    public Optional<Intent.Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns whether a call is declared as not idempotent, so that it must not be repeated.
     *
     * @param service the service
     * @param method the HTTP method
     * @param path the path below the service
     * @return true when the service lists the call; a call that is not listed is still not repeated when its method is
     *     not idempotent
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
     * Returns whether HTTP defines a method as idempotent.
     *
     * @param method the HTTP method
     * @return true for GET, HEAD, OPTIONS, PUT and DELETE
     */
    public static boolean isIdempotentMethod(String method) {
        return List.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE").contains(method);
    }
}
