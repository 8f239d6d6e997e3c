package org.fuchsiatrail.forwarding;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** One version of the operators' routing configuration, indexed for lookups. Immutable. */
public final class RoutingTable {

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceDefinition> services = new HashMap<>();
    private final Map<String, CustomerEntry> customersByKey = new HashMap<>();
    private final Map<String, Long> resumableMillisByService = new TreeMap<>();
    private final List<Route> routes;
    private final List<ServiceDefinition> listedServices;
    private final List<CustomerEntry> customers;
    private final boolean keysRequired;
    private final boolean limitsCustomers;
    private final CacheSharing cacheSharing;
    private final CallerLimits limits;

    /**
     * Creates a table from a configuration and indexes it.
     *
     * @param version the operators' version number; higher is newer
     * @param routes all routes
     * @param services all services
     * @param customers all customers; when there are none, callers need no API key
     * @param limits the limits for callers
     */
    public RoutingTable(
            long version,
            List<Route> routes,
            List<ServiceDefinition> services,
            List<CustomerEntry> customers,
            CallerLimits limits) {
        this.version = version;
        this.limits = limits;
        this.routes = List.copyOf(routes);
        this.listedServices = List.copyOf(services);
        this.customers = List.copyOf(customers);
        this.keysRequired = !customers.isEmpty();
        this.limitsCustomers =
                customers.stream().anyMatch(customer -> customer.limit().isPresent());
        this.cacheSharing = CacheSharing.of(this.customers);
        routes.forEach(route -> routesByHost
                .computeIfAbsent(route.host(), host -> new ArrayList<>())
                .add(route));
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routes.stream()
                .filter(Route::resumable)
                .forEach(route -> route.targets()
                        .forEach(target ->
                                resumableMillisByService.merge(target.service(), route.timeoutMillis(), Math::max)));
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> this.services.put(service.name(), service));
        customers.forEach(customer -> customer.apiKeys().forEach(key -> customersByKey.put(key, customer)));
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host that the caller requested
     * @param path the path without its query
     * @return the route with the longest matching path prefix
     */
    public Optional<Route> route(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the customer that an API key belongs to.
     *
     * @param apiKey the API key
     * @return the customer, or empty when the key is unknown
     */
    public Optional<CustomerEntry> customer(String apiKey) {
        return Optional.ofNullable(customersByKey.get(apiKey));
    }

    /**
     * Finds a service.
     *
     * @param name the name of the service
     * @return the definition of the service, or empty when the name is unknown
     */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns all routes, also ones that never match.
     *
     * @return the routes as they are listed
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Returns all services, also ones that are listed twice.
     *
     * @return the services as they are listed
     */
    public List<ServiceDefinition> services() {
        return listedServices;
    }

    /**
     * Returns all customers.
     *
     * @return the customers as they are listed
     */
    public List<CustomerEntry> customers() {
        return customers;
    }

    /**
     * Returns the services of routes whose streams callers may resume.
     *
     * @return the longest timeout of such a route for each of these services, in milliseconds
     */
    public Map<String, Long> resumableMillisByService() {
        return Collections.unmodifiableMap(resumableMillisByService);
    }

    /**
     * Returns the services that are KV cache stores.
     *
     * @return the KV cache stores, sorted by name
     */
    public List<ServiceDefinition> kvCacheStores() {
        return services.values().stream()
                .filter(service -> service.kvCacheStore().isPresent())
                .sorted(Comparator.comparing(ServiceDefinition::name))
                .toList();
    }

    /**
     * Returns the version number.
     *
     * @return higher is newer
     */
    public long version() {
        return version;
    }

    /**
     * Returns whether callers need an API key on routes that do not allow anonymous callers.
     *
     * @return true when at least one customer is configured
     */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Returns whether any customer has a limit.
     *
     * @return true if requests of customers are counted
     */
    public boolean limitsCustomers() {
        return limitsCustomers;
    }

    /**
     * Returns which customers share cached prompt parts.
     *
     * @return the customers that share none, and a name of what the others share
     */
    public CacheSharing cacheSharing() {
        return cacheSharing;
    }

    /**
     * Returns the limits for callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }
}
