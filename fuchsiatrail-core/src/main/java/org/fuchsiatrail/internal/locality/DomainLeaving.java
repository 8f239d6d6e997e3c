package org.fuchsiatrail.internal.locality;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.fuchsiatrail.FailureDomain;

/** What a router has learned of other failure domains, and how much it has sent there. */
public final class DomainLeaving {

    /** Cost of another failure domain while leaving is not decided by its gain, in milliseconds; a round trip. */
    private static final double FIXED_COST_MILLIS = 4;

    private final FailureDomain ownDomain;
    private final boolean decidesByGain;
    private final SplittableRandom random;
    private final LeavingRate rate;
    private final DomainWays ways;
    private final DomainNews news;
    private final Map<String, LeavingFlow> flowsByService = new HashMap<>();

    private Optional<LeavingResult> lastResult = Optional.empty();

    /**
     * What a request needs.
     *
     * @param service the service that it goes to
     * @param latencyTargetMillis the latency target of its route
     * @param transferredBytes the expected bytes of the prompt and the answer
     * @param resumed whether it continues a stream that another attempt began
     * @param directNews whether all routers hear each other directly, so that few decide, on fresh news
     * @param nowMillis the time
     */
    public record Request(
            String service,
            double latencyTargetMillis,
            double transferredBytes,
            boolean resumed,
            boolean directNews,
            long nowMillis) {}

    /**
     * Creates the state of a router.
     *
     * @param ownDomain its failure domain
     * @param decidesByGain whether requests leave by what they gain, or for a fixed cost
     * @param maximumPerSecond the most requests a second that may leave while the own domain has an upstream
     * @param random for the draws
     */
    public DomainLeaving(
            FailureDomain ownDomain, boolean decidesByGain, double maximumPerSecond, SplittableRandom random) {
        this.ownDomain = ownDomain;
        this.decidesByGain = decidesByGain;
        this.random = random;
        this.rate = new LeavingRate(maximumPerSecond);
        this.ways = new DomainWays(ownDomain);
        this.news = new DomainNews(ownDomain);
    }

    public DomainWays ways() {
        return ways;
    }

    public DomainNews news() {
        return news;
    }

    /** Returns the result of the last decision, if there was one to be made. */
    public Optional<LeavingResult> lastResult() {
        return lastResult;
    }

    /** Returns the share of a service's requests that lasting differences ask to leave, 0 to 1. */
    public double share(String service, long nowMillis) {
        LeavingFlow flow = flowsByService.get(service);
        return flow == null ? 0 : flow.share(nowMillis);
    }

    /** Begins the choice of a place for a request. */
    public <T> DomainChoice<T> choose(Request request) {
        return new DomainChoice<>(this, request);
    }

    /** Records that a request left while the own domain had an upstream for it. */
    public void recordLeft(long nowMillis) {
        rate.record(nowMillis);
    }

    DomainOffer offer(
            Request request,
            FailureDomain domain,
            double costMillis,
            double predictedMillis,
            double partsMillis,
            int upstreams) {
        return new DomainOffer(
                domain,
                costMillis,
                predictedMillis,
                partsMillis,
                upstreams,
                ways.millis(domain, request.nowMillis()),
                news.ageMillis(domain, request.nowMillis()));
    }

    /** Returns the failure domain of which the place is used. */
    FailureDomain decide(Request request, List<DomainOffer> offers) {
        lastResult = Optional.empty();
        if (offers.size() == 1 && offers.getFirst().domain().equals(ownDomain)) {
            return ownDomain;
        }
        if (!decidesByGain || request.directNews()) {
            return offers.stream()
                    .min(Comparator.comparingDouble(
                            offer -> offer.costMillis() + (offer.domain().equals(ownDomain) ? 0 : FIXED_COST_MILLIS)))
                    .orElseThrow()
                    .domain();
        }
        LeavingFlow flow = flowsByService.computeIfAbsent(request.service(), key -> new LeavingFlow());
        LeavingResult result = LeavingDecision.decide(view(request, offers, flow));
        double newsMillis = offers.stream()
                .filter(offer -> !offer.domain().equals(ownDomain))
                .mapToDouble(DomainOffer::newsMillis)
                .max()
                .orElse(0);
        flow.record(result.askedShare(), newsMillis, request.nowMillis());
        lastResult = Optional.of(result);
        return switch (result) {
            case LeavingResult.Stay stay -> ownDomain;
            case LeavingResult.Leave leave -> leave.domain();
        };
    }

    private LeavingView view(Request request, List<DomainOffer> offers, LeavingFlow flow) {
        Optional<DomainOffer> home = Optional.empty();
        List<DomainOffer> elsewhere = new ArrayList<>();
        for (DomainOffer offer : offers) {
            if (offer.domain().equals(ownDomain)) {
                home = Optional.of(offer);
            } else {
                elsewhere.add(offer);
            }
        }
        return new LeavingView(
                home,
                elsewhere,
                request.latencyTargetMillis(),
                request.transferredBytes(),
                request.resumed(),
                flow.share(request.nowMillis()),
                rate.permits(request.nowMillis()),
                random.nextDouble());
    }
}
