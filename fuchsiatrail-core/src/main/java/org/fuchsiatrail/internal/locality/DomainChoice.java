package org.fuchsiatrail.internal.locality;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.internal.load.TimelyChoice;

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
        private final TimelyChoice<Place<T>> choice;
        private int upstreams;

        private Best(double allowedMillis) {
            this.choice = new TimelyChoice<>(allowedMillis);
        }

        private Place<T> place() {
            return choice.best().orElseThrow();
        }
    }

    private record Place<T>(T place, Expectation expectation) {}

    /**
     * What is expected of a request at a place.
     *
     * @param costMillis the cost, in milliseconds of a caller's waiting time
     * @param answerMillis the time within which the place has to be preferred to one that answers later
     * @param predictedMillis the time to the first event or the answer
     * @param partsMillis the part of the cost that is another prefill or a copy of shared parts
     */
    public record Expectation(double costMillis, double answerMillis, double predictedMillis, double partsMillis) {}

    DomainChoice(DomainLeaving leaving, DomainLeaving.Request request) {
        this.leaving = leaving;
        this.request = request;
    }

    /**
     * Adds a place.
     *
     * @param domain its failure domain
     * @param place the place
     * @param expectation what is expected of the request there
     */
    public void add(FailureDomain domain, T place, Expectation expectation) {
        Best<T> best = bestByDomain.computeIfAbsent(domain, key -> new Best<>(request.inTimeMillis()));
        best.upstreams++;
        best.choice.offer(new Place<>(place, expectation), expectation.answerMillis(), expectation.costMillis());
    }

    /** Selects a place; empty without places. */
    public Optional<T> select() {
        if (bestByDomain.isEmpty()) {
            return Optional.empty();
        }
        List<DomainOffer> offers = new ArrayList<>();
        bestByDomain.forEach((domain, best) ->
                offers.add(leaving.offer(request, domain, best.place().expectation(), best.upstreams)));
        return Optional.of(
                bestByDomain.get(leaving.decide(request, offers)).place().place());
    }
}
