package org.fuchsiatrail;

import java.util.List;

/**
 * The declarative configuration that operators maintain: all customers, models, upstreams, services and cache scopes.
 *
 * @param models the model versions that may be served
 * @param customers the customers and the model versions that each may use
 * @param upstreams the engines and services
 * @param services the services and their calls that are not idempotent
 * @param scopes the cache scopes that several customers share
 */
public record Intent(
        List<Model> models,
        List<Customer> customers,
        List<Upstream> upstreams,
        List<Service> services,
        List<Scope> scopes) {

    /** Replaces missing lists with empty ones. */
    public Intent {
        models = models == null ? List.of() : List.copyOf(models);
        customers = customers == null ? List.of() : List.copyOf(customers);
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
        services = services == null ? List.of() : List.copyOf(services);
        scopes = scopes == null ? List.of() : List.copyOf(scopes);
    }

    /**
     * Returns an empty intent.
     *
     * @return an intent with empty lists
     */
    public static Intent empty() {
        return new Intent(List.of(), List.of(), List.of(), List.of(), List.of());
    }

    /**
     * A model version that may be served.
     *
     * @param name the name that callers request
     * @param weights the version of the weights
     * @param adapters the adapters that may be used with it
     */
    public record Model(String name, String weights, List<String> adapters) {

        /** Replaces a missing list with an empty one. */
        public Model {
            adapters = adapters == null ? List.of() : List.copyOf(adapters);
        }

        /**
         * Returns this model version as a {@link ModelVersion}.
         *
         * @return the model version
         */
        public ModelVersion version() {
            return new ModelVersion(name, weights);
        }
    }

    /**
     * A customer.
     *
     * @param id the customer's id, which is the part of its API key before the dot
     * @param keyHash the salted hash of the customer's API key, as {@code fuchsiatrail key} prints it
     * @param share the customer's weight when engines are overloaded, from 1
     * @param priority the most urgent priority that the customer's requests may have, 0 to 9
     * @param models the model versions that the customer may use, each {@code name@weights}; the first version of a
     *     name is the default for that name
     */
    public record Customer(String id, String keyHash, int share, int priority, List<String> models) {

        /** Replaces missing values with defaults. */
        public Customer {
            share = share <= 0 ? 1 : share;
            models = models == null ? List.of() : List.copyOf(models);
        }
    }

    /** The two kinds of upstream. */
    public enum UpstreamKind {
        /** A model engine. */
        ENGINE,
        /** A service. */
        SERVICE
    }

    /**
     * An upstream.
     *
     * @param id the id of the upstream
     * @param kind the kind of upstream
     * @param failureDomain the name of the failure domain of the upstream
     * @param address the IP address and port of the upstream
     * @param serves the model versions that an engine should have loaded, or the service names of a service
     * @param checksFencing whether an engine refuses orders with an outdated fencing token
     * @param draining whether the upstream is draining
     */
    public record Upstream(
            String id,
            UpstreamKind kind,
            String failureDomain,
            String address,
            List<String> serves,
            boolean checksFencing,
            boolean draining) {

        /** Replaces missing values with defaults. */
        public Upstream {
            kind = kind == null ? UpstreamKind.ENGINE : kind;
            serves = serves == null ? List.of() : List.copyOf(serves);
        }
    }

    /**
     * A service.
     *
     * @param name the name of the service in the path of its calls
     * @param notIdempotent the calls that are not idempotent, each a method and a path prefix such as
     *     {@code POST /certificates}
     */
    public record Service(String name, List<String> notIdempotent) {

        /** Replaces a missing list with an empty one. */
        public Service {
            notIdempotent = notIdempotent == null ? List.of() : List.copyOf(notIdempotent);
        }
    }

    /**
     * A cache scope that several customers share.
     *
     * @param name the name that callers request
     * @param customers the customers that may use it
     */
    public record Scope(String name, List<String> customers) {

        /** Replaces a missing list with an empty one. */
        public Scope {
            customers = customers == null ? List.of() : List.copyOf(customers);
        }
    }
}
