package org.fuchsiatrail.internal.load;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

/**
 * How fast one upstream is: the model of its service, by a factor learned from the attempts of this router on it and by
 * how long work takes on its machine at present.
 *
 * <p>Load pattern: upstreams of unequal speed, of which each router uses each one rarely. One that becomes several
 * times slower, is mended or is replaced must be predicted rightly after a few answers, while a single late answer,
 * which may have waited behind requests of other routers, changes little.
 */
public final class EngineModel {

    /** The observations that stay however old they are. */
    private static final int MINIMUM_SAMPLES = 4;

    private static final int MAXIMUM_SAMPLES = 12;

    /** How many observations the model of the service counts as. */
    private static final double PRIOR_SAMPLES = 1;

    /** How soon an observation loses most of its weight, in milliseconds, so that a slow upstream is tried again. */
    private static final double MEMORY_MILLIS = 10_000;

    private static final double MINIMUM_FACTOR = 0.2;
    private static final double MAXIMUM_FACTOR = 20;

    /** The usual pace, in percent, and the bounds within which a reported one is believed. */
    private static final double USUAL_PACE = 100;

    private static final double MINIMUM_PACE_FACTOR = 0.2;
    private static final double MAXIMUM_PACE_FACTOR = 10;

    /** How soon a reported pace, which changes many times a second, tells little, in milliseconds. */
    private static final double PACE_VALIDITY_MILLIS = 400;

    private final ServiceModel service;
    private final SampleWindow firstEvents = new SampleWindow(MINIMUM_SAMPLES, MAXIMUM_SAMPLES);
    private final SampleWindow calls = new SampleWindow(MINIMUM_SAMPLES, MAXIMUM_SAMPLES);
    private double factor = 1;
    private int comparedRevision;
    private boolean tellsPace;
    private double reportedPaceFactor = 1;
    private long paceAtMillis;

    /**
     * Creates the model of an upstream that has not been used yet.
     *
     * @param service the model of its service
     */
    public EngineModel(ServiceModel service) {
        this.service = service;
    }

    /** Forgets what was learned of the upstream, which restarted. */
    public void reset() {
        firstEvents.clear();
        calls.clear();
        factor = 1;
        reportedPaceFactor = 1;
    }

    /**
     * Records the time that work takes as the upstream reports it.
     *
     * @param nowMillis the time
     * @param pacePercent the time in percent of the usual one, or empty if it is not told
     */
    public void observePace(long nowMillis, OptionalInt pacePercent) {
        tellsPace = pacePercent.isPresent();
        reportedPaceFactor = pacePercent.isPresent()
                ? Math.clamp(pacePercent.getAsInt() / USUAL_PACE, MINIMUM_PACE_FACTOR, MAXIMUM_PACE_FACTOR)
                : 1;
        paceAtMillis = nowMillis;
    }

    /**
     * Returns whether the upstream tells how long work takes on its machine.
     *
     * @return whether its latest report did
     */
    public boolean tellsPace() {
        return tellsPace;
    }

    /**
     * Records the time to the first event of a request that found little work ahead of it.
     *
     * @param nowMillis the time
     * @param tokens the prompt tokens that were read, of which the router is nearly certain
     * @param millis the time to the first event
     */
    public void observeFirstEvent(long nowMillis, double tokens, long millis) {
        service.observeFirstEvent(nowMillis, tokens, usualMillis(nowMillis, millis));
        observeQueuedFirstEvent(nowMillis, tokens, millis);
    }

    /**
     * Records the time to the first event of a request that had known work ahead of it. It compares this upstream with
     * its service, of which it tells nothing, as more work may have been ahead.
     *
     * @param nowMillis the time
     * @param tokens the prompt tokens that were read before and for it, as far as known
     * @param millis the time to the first event
     */
    public void observeQueuedFirstEvent(long nowMillis, double tokens, long millis) {
        firstEvents.add(nowMillis, tokens, usualMillis(nowMillis, millis));
        compare();
    }

    /**
     * Records the time to the first event of a request that found little work ahead of it, while more of its prompt may
     * have been read than is known. It tells of the service, whose model follows the shortest times, not of this
     * upstream.
     *
     * @param nowMillis the time
     * @param leastTokens the prompt tokens that were read in any case
     * @param millis the time to the first event
     */
    public void observeUnknownPrompt(long nowMillis, double leastTokens, long millis) {
        service.observeFirstEvent(nowMillis, leastTokens, usualMillis(nowMillis, millis));
    }

    private double usualMillis(long nowMillis, long millis) {
        return Math.max(1, millis) / paceFactor(nowMillis);
    }

    /**
     * Records the time of a call that found a place at once.
     *
     * @param nowMillis the time
     * @param millis the time to the answer
     */
    public void observeCall(long nowMillis, long millis) {
        calls.add(nowMillis, 0, usualMillis(nowMillis, millis));
        service.observeCall(nowMillis, usualMillis(nowMillis, millis));
        compare();
    }

    /**
     * Records for how long a request kept its place.
     *
     * @param millis the time from its sending to its end
     */
    public void observePlace(long millis) {
        service.observePlace(millis);
    }

    /**
     * Returns how fast the upstream is expected to be. A request waits for a place at most for the time of a short
     * generation, as one of several requests ends before a long one does.
     *
     * @param nowMillis the time
     * @return the expected speed
     */
    public EngineSpeed speed(long nowMillis) {
        if (comparedRevision != service.revision()) {
            compare();
        }
        double slowness = factor * paceFactor(nowMillis);
        return new EngineSpeed(
                service.tokensPerMillisecond() / slowness,
                service.fixedMillis() * slowness,
                service.callMillis() * slowness,
                Math.min(EngineSpeed.ASSUMED.placeMillis(), service.placeMillis() * slowness));
    }

    private double paceFactor(long nowMillis) {
        return 1 + (reportedPaceFactor - 1) * Math.exp((paceAtMillis - nowMillis) / PACE_VALIDITY_MILLIS);
    }

    /** Compares the observations of this upstream with the model of the service; old ones count less. */
    private void compare() {
        comparedRevision = service.revision();
        List<SampleWindow.Sample> compared = new ArrayList<>();
        if (service.knowsFirstEvents()) {
            firstEvents
                    .samples()
                    .forEach(sample -> compared.add(sample.relativeTo(service.firstEventMillis(sample.tokens()))));
        }
        if (service.knowsCalls()) {
            calls.samples().forEach(sample -> compared.add(sample.relativeTo(service.callMillis())));
        }
        if (compared.isEmpty()) {
            factor = 1;
            return;
        }
        double count = compared.stream()
                .mapToDouble(sample -> Math.exp((sample.atMillis() - service.latestMillis()) / MEMORY_MILLIS))
                .sum();
        double[] ratios = compared.stream()
                .mapToDouble(SampleWindow.Sample::value)
                .sorted()
                .toArray();
        double ratio = ratios[(int) (ServiceModel.QUANTILE * (ratios.length - 1))];
        factor = Math.clamp(Math.pow(ratio, count / (count + PRIOR_SAMPLES)), MINIMUM_FACTOR, MAXIMUM_FACTOR);
    }
}
