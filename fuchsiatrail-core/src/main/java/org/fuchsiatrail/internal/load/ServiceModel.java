package org.fuchsiatrail.internal.load;

import java.util.Arrays;
import java.util.List;

/**
 * How fast the upstreams of a service are, learned from the attempts of this router on all of them. It is the prior of
 * each upstream's own model.
 *
 * <p>The time to the first event is a fixed time plus a time for each prompt token to be read. Both are fitted to the
 * lower quartile of the observed times, because requests of other routers that are not known yet only add to them.
 */
public final class ServiceModel {

    /** From how many observations on they replace what was assumed. */
    private static final int MINIMUM_SAMPLES = 4;

    private static final int MAXIMUM_SAMPLES = 48;

    /** The fraction of the observed times that lie below the fitted ones. */
    static final double QUANTILE = 0.25;

    /** Weight of the fixed time in the fit: without prompts of different lengths, all time counts as reading. */
    private static final double FIXED_TIME_WEIGHT = 0.02;

    /** Factors on the time for a token that are tried until none fits better. */
    private static final double[] STEPS = {0.5, 0.7, 0.85, 0.95, 1.05, 1.18, 1.4, 2};

    private static final int MAXIMUM_ROUNDS = 12;

    /** The change of the model after which the upstreams compare themselves with it again, a fraction. */
    private static final double REVISED_CHANGE = 0.1;

    /** After what time they do so without a change, in milliseconds. */
    private static final long REVISION_MILLIS = 1_000;

    private static final double MINIMUM_MILLIS_PER_TOKEN = 1e-4;
    private static final double MAXIMUM_MILLIS_PER_TOKEN = 1;

    /** Smoothing factor of the moving averages, in which some ten observations dominate. */
    private static final double SMOOTHING = 0.1;

    private final SampleWindow firstEvents = new SampleWindow(MINIMUM_SAMPLES, MAXIMUM_SAMPLES);
    private final SampleWindow calls = new SampleWindow(MINIMUM_SAMPLES, MAXIMUM_SAMPLES);
    private double fixedMillis;
    private double millisPerToken = EngineSpeed.ASSUMED.prefillMillis(1);
    private double callMillis = EngineSpeed.ASSUMED.callMillis();
    private double placeMillis = EngineSpeed.ASSUMED.placeMillis();

    private long latestMillis;
    private int revision;
    private double revisedMillisPerToken = millisPerToken;
    private long revisedAtMillis;

    private record Fit(double fixedMillis, double millisPerToken, double loss) {}

    /** Records the time to the first event of a request whose tokens to be read are nearly certain. */
    void observeFirstEvent(long nowMillis, double tokens, double millis) {
        firstEvents.add(nowMillis, tokens, millis);
        latestMillis = nowMillis;
        if (firstEvents.size() >= MINIMUM_SAMPLES) {
            fitFirstEvents();
        }
        revise();
    }

    private void fitFirstEvents() {
        List<SampleWindow.Sample> samples = firstEvents.samples();
        Fit best = fit(samples, millisPerToken);
        Fit previous = null;
        for (int round = 0; round < MAXIMUM_ROUNDS && best != previous; round++) {
            previous = best;
            for (double step : STEPS) {
                double tried = Math.clamp(
                        previous.millisPerToken() * step, MINIMUM_MILLIS_PER_TOKEN, MAXIMUM_MILLIS_PER_TOKEN);
                Fit fit = fit(samples, tried);
                best = fit.loss() < best.loss() ? fit : best;
            }
        }
        fixedMillis = best.fixedMillis();
        millisPerToken = best.millisPerToken();
    }

    private static Fit fit(List<SampleWindow.Sample> samples, double millisPerToken) {
        double[] rests = new double[samples.size()];
        for (int index = 0; index < rests.length; index++) {
            SampleWindow.Sample sample = samples.get(index);
            rests[index] = sample.value() - sample.tokens() * millisPerToken;
        }
        Arrays.sort(rests);
        double fixedMillis = Math.max(0, rests[(int) (QUANTILE * (rests.length - 1))]);
        double loss = FIXED_TIME_WEIGHT * fixedMillis * rests.length;
        for (double rest : rests) {
            double excess = rest - fixedMillis;
            loss += excess > 0 ? QUANTILE * excess : (QUANTILE - 1) * excess;
        }
        return new Fit(fixedMillis, millisPerToken, loss);
    }

    /** Records the time of a call that found a place at once. */
    void observeCall(long nowMillis, double millis) {
        calls.add(nowMillis, 0, millis);
        latestMillis = nowMillis;
        if (calls.size() >= MINIMUM_SAMPLES) {
            callMillis = calls.quantile(QUANTILE);
        }
        revise();
    }

    /** Lets the upstreams compare themselves again once the model has changed, or some time has passed. */
    private void revise() {
        boolean changed = Math.abs(millisPerToken / revisedMillisPerToken - 1) > REVISED_CHANGE;
        if (changed || latestMillis - revisedAtMillis >= REVISION_MILLIS) {
            revision++;
            revisedMillisPerToken = millisPerToken;
            revisedAtMillis = latestMillis;
        }
    }

    /** Records for how long a request kept its place at an upstream. */
    void observePlace(double millis) {
        placeMillis += SMOOTHING * (millis - placeMillis);
    }

    /** The time to the first event of a request that finds no work ahead, in milliseconds. */
    double firstEventMillis(double tokens) {
        return fixedMillis + tokens * millisPerToken;
    }

    /** Returns whether times to the first event were observed, rather than assumed. */
    boolean knowsFirstEvents() {
        return firstEvents.size() >= MINIMUM_SAMPLES;
    }

    /** Returns whether times of calls were observed, rather than assumed. */
    boolean knowsCalls() {
        return calls.size() >= MINIMUM_SAMPLES;
    }

    /** Increases whenever upstreams are to compare themselves with the model again. */
    int revision() {
        return revision;
    }

    /** When the latest observation of any upstream was made. */
    long latestMillis() {
        return latestMillis;
    }

    double fixedMillis() {
        return fixedMillis;
    }

    double tokensPerMillisecond() {
        return 1 / millisPerToken;
    }

    double callMillis() {
        return callMillis;
    }

    double placeMillis() {
        return placeMillis;
    }
}
