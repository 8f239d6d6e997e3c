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

    /**
     * The weight of a new report of the pace. It changes many times while a request runs, so that only its mean over
     * several reports tells the time of the next request.
     */
    private static final double PACE_SMOOTHING = 0.25;

    private final ServiceModel service;
    private final SampleWindow firstEvents = new SampleWindow(MINIMUM_SAMPLES, MAXIMUM_SAMPLES);
    private final SampleWindow calls = new SampleWindow(MINIMUM_SAMPLES, MAXIMUM_SAMPLES);
    private double factor = 1;
    private int comparedRevision;
    private double paceFactor = 1;

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
        paceFactor = 1;
    }

    /**
     * Records the time that work takes as the upstream reports it.
     *
     * @param pacePercent the time in percent of the usual one, or empty if it is not told
     */
    public void observePace(OptionalInt pacePercent) {
        if (pacePercent.isPresent()) {
            double reported = Math.clamp(pacePercent.getAsInt() / USUAL_PACE, MINIMUM_PACE_FACTOR, MAXIMUM_PACE_FACTOR);
            paceFactor += PACE_SMOOTHING * (reported - paceFactor);
        }
    }

    /**
     * Records the time to the first event of a request that found little work ahead of it.
     *
     * @param nowMillis the time
     * @param tokens the prompt tokens that were read, of which the router is certain
     * @param millis the time to the first event
     */
    public void observeFirstEvent(long nowMillis, long tokens, long millis) {
        service.observeFirstEvent(nowMillis, tokens, usualMillis(millis));
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
    public void observeQueuedFirstEvent(long nowMillis, long tokens, long millis) {
        firstEvents.add(nowMillis, tokens, usualMillis(millis));
        compare();
    }

    private double usualMillis(long millis) {
        return Math.max(1, millis) / paceFactor;
    }

    /**
     * Records the time of a call that found a place at once.
     *
     * @param nowMillis the time
     * @param millis the time to the answer
     */
    public void observeCall(long nowMillis, long millis) {
        calls.add(nowMillis, 0, usualMillis(millis));
        service.observeCall(nowMillis, usualMillis(millis));
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
     * Records the time to the first event of a request whose shared parts this upstream was expected to hold.
     *
     * @param ownTokens the prompt tokens that only this request has
     * @param sharedTokens the other ones, of which some may have been cached
     * @param millis the time to the first event
     */
    public void observeHolder(long ownTokens, long sharedTokens, long millis) {
        double readMillis = millis - service.fixedMillis() * speedFactor() - prefillMillis(ownTokens);
        service.observeHit(1 - Math.clamp(readMillis / prefillMillis(Math.max(1, sharedTokens)), 0, 1));
    }

    /**
     * Returns the expected time to read prompt tokens.
     *
     * @param tokens the tokens
     * @return the time in milliseconds
     */
    public double prefillMillis(long tokens) {
        return tokens * service.millisPerToken() * speedFactor();
    }

    /**
     * Returns the expected time to the first event of a request.
     *
     * @param tokensAhead the prompt tokens of other requests that are read before
     * @param tokens the prompt tokens of the request that are not cached
     * @return the time in milliseconds
     */
    public double firstEventMillis(long tokensAhead, long tokens) {
        return service.fixedMillis() * speedFactor() + prefillMillis(tokensAhead + tokens);
    }

    /**
     * Returns the expected time of a call that finds a place at once.
     *
     * @return the time in milliseconds
     */
    public double callMillis() {
        return service.callMillis() * speedFactor();
    }

    /**
     * Returns how long a request waits for a place when all are taken: at most the time of a short generation, as one
     * of several requests ends before a long one does.
     *
     * @return the time in milliseconds
     */
    public double placeMillis() {
        return Math.min(ServiceModel.INITIAL_PLACE_MILLIS, service.placeMillis() * speedFactor());
    }

    /**
     * Returns the fraction of a prompt's shared tokens that is expected at their holder when nothing is known of its
     * cache.
     *
     * @return the fraction, 0 to 1
     */
    public double hitFraction() {
        return service.hitFraction();
    }

    /**
     * Returns how long work takes on the upstream's machine at present.
     *
     * @return the time as a multiple of the usual one
     */
    public double paceFactor() {
        return paceFactor;
    }

    private double speedFactor() {
        if (comparedRevision != service.revision()) {
            compare();
        }
        return factor * paceFactor;
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
