package org.fuchsiatrail.internal.locality;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.fuchsiatrail.internal.locality.LeavingResult.Reason;

/**
 * Decides whether a request leaves the failure domain of its router.
 *
 * <p>Load pattern: a failure domain whose own upstreams are too few for its callers, beside others with room, and tens
 * of routers that all see the same news, up to a second old. If each of them sends what it has to the place that looks
 * free, the flow turns round with each message. So a request leaves only where its caller gains, and of those only the
 * share that ends the difference before the next news.
 */
public final class LeavingDecision {

    /** The fraction of the latency target by which the wait in the own domain must be longer; callers notice less. */
    private static final double CLEAR_GAIN_FRACTION = 0.1;

    /** The fraction of that gain with which requests go on to leave once they do. */
    private static final double CONTINUED_GAIN_FRACTION = 0.5;

    /** The share below which requests do not count as leaving. */
    private static final double LEAST_SHARE = 0.01;

    /** By which fraction of the age of its news a wait may have grown in the meantime. */
    private static final double WAIT_GROWTH = 0.1;

    /** How much longer a caller may wait before a byte is sent to another domain, in milliseconds: 20 ms a megabyte. */
    private static final double MILLIS_PER_BYTE = 20.0 / 1_000_000;

    /** The part of a difference that requests of one age of the news end; what is left is seen with the next news. */
    private static final double PART_OF_DIFFERENCE = 0.5;

    /** The shortest age of news that counts, in milliseconds. */
    private static final double MINIMUM_NEWS_MILLIS = 1;

    /** An offer that gains, with the share of requests that it asks for. */
    private record Gain(DomainOffer offer, double share, double asked) {}

    private LeavingDecision() {}

    /** Decides whether a request leaves. */
    public static LeavingResult decide(LeavingView view) {
        Comparator<DomainOffer> byCost =
                Comparator.comparingDouble(offer -> offer.costMillis() + crossingMillis(view, offer));
        Optional<DomainOffer> cheapest = view.elsewhere().stream().min(byCost);
        if (cheapest.isEmpty()) {
            return new LeavingResult.Stay(Reason.NO_GAIN, 0);
        }
        if (view.home().isEmpty()) {
            return new LeavingResult.Leave(cheapest.get().domain(), Reason.NO_UPSTREAM, 0);
        }
        DomainOffer home = view.home().get();
        Optional<DomainOffer> parts = view.elsewhere().stream()
                .filter(offer -> followsPrompt(view, home, offer))
                .min(byCost);
        if (parts.isPresent()) {
            return view.permitted()
                    ? new LeavingResult.Leave(
                            parts.get().domain(), view.resumed() ? Reason.RESUMED : Reason.SHARED_PARTS, 0)
                    : new LeavingResult.Stay(Reason.MOST_A_SECOND, 0);
        }
        return decideByWait(view, home);
    }

    private static LeavingResult decideByWait(LeavingView view, DomainOffer home) {
        List<Gain> gains = gains(view, home);
        double asked = Math.min(1, gains.stream().mapToDouble(Gain::asked).sum());
        if (gains.isEmpty()) {
            return new LeavingResult.Stay(Reason.NO_GAIN, 0);
        }
        double rest = view.draw();
        for (Gain gain : gains) {
            rest -= gain.share();
            if (rest < 0) {
                boolean late = home.predictedMillis() > view.latencyTargetMillis();
                return view.permitted()
                        ? new LeavingResult.Leave(gain.offer().domain(), late ? Reason.LATE : Reason.LONGER_WAIT, asked)
                        : new LeavingResult.Stay(Reason.MOST_A_SECOND, asked);
            }
        }
        return new LeavingResult.Stay(Reason.SHARE, asked);
    }

    /** Returns the offers that gain; together they ask for the share that ends the difference. */
    private static List<Gain> gains(LeavingView view, DomainOffer home) {
        boolean late = home.predictedMillis() > view.latencyTargetMillis();
        boolean leaving = view.heldShare() > LEAST_SHARE;
        double neededMillis =
                late ? 0 : view.latencyTargetMillis() * CLEAR_GAIN_FRACTION * (leaving ? CONTINUED_GAIN_FRACTION : 1);
        List<DomainOffer> gaining = view.elsewhere().stream()
                .filter(offer -> gainMillis(view, home, offer) > neededMillis)
                .toList();
        int upstreams = gaining.stream().mapToInt(DomainOffer::upstreams).sum();
        List<Gain> gains = new ArrayList<>();
        for (DomainOffer offer : gaining) {
            double newsMillis = Math.max(MINIMUM_NEWS_MILLIS, offer.newsMillis());
            double asked = PART_OF_DIFFERENCE
                    * gainMillis(view, home, offer)
                    / newsMillis
                    * offer.upstreams()
                    / (home.upstreams() + upstreams);
            double inTimeMillis = view.latencyTargetMillis() - offer.predictedMillis() - offer.wayMillis();
            double room = inTimeMillis / newsMillis * offer.upstreams() / home.upstreams();
            double held = view.heldShare() * offer.upstreams() / upstreams;
            double share = inTimeMillis <= 0 ? asked : late ? room : Math.min(room, asked + held);
            gains.add(new Gain(offer, Math.min(1, share), Math.min(1, asked)));
        }
        return gains;
    }

    /**
     * Returns whether a request goes where its shared parts are, or its stream began; all routers find the same place
     * for them, whatever the age of the news.
     */
    private static boolean followsPrompt(LeavingView view, DomainOffer home, DomainOffer offer) {
        double wayMillis = wayMillis(view, offer);
        boolean there = view.resumed() || home.partsMillis() - offer.partsMillis() > wayMillis;
        return there && home.costMillis() - offer.costMillis() > wayMillis;
    }

    private static double gainMillis(LeavingView view, DomainOffer home, DomainOffer offer) {
        return home.costMillis() - offer.costMillis() - crossingMillis(view, offer);
    }

    /** What leaving costs: the way, and how much the wait there may have grown since the news. */
    private static double crossingMillis(LeavingView view, DomainOffer offer) {
        return wayMillis(view, offer) + offer.newsMillis() * WAIT_GROWTH;
    }

    private static double wayMillis(LeavingView view, DomainOffer offer) {
        return offer.wayMillis() + view.transferredBytes() * MILLIS_PER_BYTE;
    }
}
