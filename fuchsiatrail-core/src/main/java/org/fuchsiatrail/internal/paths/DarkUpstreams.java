package org.fuchsiatrail.internal.paths;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;

/**
 * The incarnations of upstreams that this router, or another one, has lately seen to be dark.
 *
 * <p>A report expires by itself, and the routers that see the upstream repeat it while connections still time out, so
 * that an upstream which is back is used again within that time. What other routers report does not bind this one: an
 * answer since then outweighs it.
 */
public final class DarkUpstreams {

    /** How long after an upstream was seen to be dark that counts, in milliseconds; four probes. */
    static final long VALIDITY_MILLIS = 2_500;

    /** The least time by which a report must extend what is known to be told, in milliseconds. */
    private static final long MINIMUM_RENEWAL_MILLIS = 700;

    /** The most incarnations that are kept; further ones are ignored. */
    private static final int MAXIMUM_INCARNATIONS = 2_000;

    private final Map<UpstreamId, Long> seenAtMillis = new HashMap<>();
    /** The same of what other routers reported. */
    private final Map<UpstreamId, Long> toldAtMillis = new HashMap<>();

    private List<Sight> unsentSights = new ArrayList<>();

    private record Sight(UpstreamId incarnation, long atMillis) {}

    /**
     * Records that this router sees an incarnation to be dark.
     *
     * @param incarnation the incarnation
     * @param nowMillis the time, in milliseconds
     * @return whether that is news to other routers
     */
    public boolean observe(UpstreamId incarnation, long nowMillis) {
        boolean news = record(incarnation, nowMillis, nowMillis);
        if (news) {
            unsentSights.add(new Sight(incarnation, nowMillis));
        }
        return news;
    }

    /**
     * Records the report of another router.
     *
     * @param report the report
     * @param nowMillis the time, in milliseconds
     * @return whether other routers should receive it
     */
    public boolean receive(PeerMessage.DarkUpstream report, long nowMillis) {
        long ageMillis = report.ageMillis();
        boolean news = ageMillis >= 0
                && ageMillis < VALIDITY_MILLIS
                && record(report.upstream(), nowMillis - ageMillis, nowMillis);
        if (news) {
            toldAtMillis.keySet().retainAll(seenAtMillis.keySet());
            toldAtMillis.put(report.upstream(), nowMillis - ageMillis);
        }
        return news;
    }

    private boolean record(UpstreamId incarnation, long atMillis, long nowMillis) {
        Long known = seenAtMillis.get(incarnation);
        if (known != null && atMillis < known + MINIMUM_RENEWAL_MILLIS) {
            return false;
        }
        seenAtMillis.values().removeIf(seen -> nowMillis - seen >= VALIDITY_MILLIS);
        if (seenAtMillis.size() >= MAXIMUM_INCARNATIONS) {
            return false;
        }
        seenAtMillis.put(incarnation, atMillis);
        return true;
    }

    /**
     * Returns whether an incarnation was lately seen to be dark, and has not answered this router since.
     *
     * @param incarnation the incarnation
     * @param lastAnswerAtMillis when it last answered this router, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return whether it should receive requests only if there is no other
     */
    public boolean isDark(UpstreamId incarnation, long lastAnswerAtMillis, long nowMillis) {
        return isValid(seenAtMillis.get(incarnation), lastAnswerAtMillis, nowMillis);
    }

    /**
     * Returns the same of what other routers reported.
     *
     * @param incarnation the incarnation
     * @param lastAnswerAtMillis when it last answered this router, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return whether others, which reach other upstreams, don't reach it either
     */
    public boolean isDarkElsewhere(UpstreamId incarnation, long lastAnswerAtMillis, long nowMillis) {
        return isValid(toldAtMillis.get(incarnation), lastAnswerAtMillis, nowMillis);
    }

    private static boolean isValid(Long seen, long lastAnswerAtMillis, long nowMillis) {
        return seen != null && nowMillis - seen < VALIDITY_MILLIS && lastAnswerAtMillis < seen;
    }

    /**
     * Returns whether nothing is known of any upstream.
     *
     * @return whether there are no sights and no reports
     */
    public boolean isEmpty() {
        return seenAtMillis.isEmpty();
    }

    /**
     * Removes and returns the sights of this router that were not sent to others yet.
     *
     * @param nowMillis the time, in milliseconds
     * @return the reports
     */
    public List<PeerMessage.DarkUpstream> drainUnsent(long nowMillis) {
        List<PeerMessage.DarkUpstream> drained = unsentSights.stream()
                .map(sight -> new PeerMessage.DarkUpstream(sight.incarnation(), nowMillis - sight.atMillis()))
                .toList();
        unsentSights = new ArrayList<>();
        return drained;
    }

    /**
     * Returns whether there are sights that were not sent to other routers yet.
     *
     * @return whether there are
     */
    public boolean hasUnsent() {
        return !unsentSights.isEmpty();
    }
}
