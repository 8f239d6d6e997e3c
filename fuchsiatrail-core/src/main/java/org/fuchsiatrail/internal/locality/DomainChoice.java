package org.fuchsiatrail.internal.locality;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.FailureDomain;

/**
 * Collects the places that a request may go to and selects the cheapest of the failure domain that it is to go to.
 *
 * @param <T> the type of the places
 */
public final class DomainChoice<T> {

    private final DomainLeaving leaving;
    private final DomainLeaving.Request request;
    private final Map<FailureDomain, Best<T>> bestByDomain = new LinkedHashMap<>();

    private static final class Best<T> {
        private T place;
        private double costMillis = Double.MAX_VALUE;
        private double predictedMillis;
        private double partsMillis;
        private int upstreams;
    }

    DomainChoice(DomainLeaving leaving, DomainLeaving.Request request) {
        this.leaving = leaving;
        this.request = request;
    }

    /**
     * Adds a place.
     *
     * @param domain its failure domain
     * @param place the place
     * @param costMillis its expected cost, in milliseconds of a caller's waiting time
     * @param predictedMillis the predicted time to the first event or the answer
     * @param partsMillis the part of the cost that is another prefill of shared parts
     */
    public void add(FailureDomain domain, T place, double costMillis, double predictedMillis, double partsMillis) {
        Best<T> best = bestByDomain.computeIfAbsent(domain, key -> new Best<>());
        best.upstreams++;
        if (costMillis < best.costMillis) {
            best.place = place;
            best.costMillis = costMillis;
            best.predictedMillis = predictedMillis;
            best.partsMillis = partsMillis;
        }
    }

    /** Selects a place; empty without places. */
    public Optional<T> select() {
        if (bestByDomain.isEmpty()) {
            return Optional.empty();
        }
        List<DomainOffer> offers = new ArrayList<>();
        bestByDomain.forEach((domain, best) -> offers.add(leaving.offer(
                request, domain, best.costMillis, best.predictedMillis, best.partsMillis, best.upstreams)));
        return Optional.of(bestByDomain.get(leaving.decide(request, offers)).place);
    }
}
