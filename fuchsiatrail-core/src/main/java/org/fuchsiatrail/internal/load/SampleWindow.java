package org.fuchsiatrail.internal.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The latest observations of an upstream or a service. Observations leave it after a time, but not the last few, so
 * that a busy upstream is judged by its present and a rarely used one by what is known of it.
 */
final class SampleWindow {

    /** How long an observation counts beside newer ones, in milliseconds; the time in which the model must follow. */
    private static final long VALIDITY_MILLIS = 2_000;

    private final int minimumSize;
    private final int maximumSize;
    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * An observation.
     *
     * @param atMillis when it was made
     * @param tokens the work, in prompt tokens
     * @param value the observed time in milliseconds, or its ratio to the expected time
     */
    record Sample(long atMillis, double tokens, double value) {

        Sample relativeTo(double expectedMillis) {
            return new Sample(atMillis, tokens, value / expectedMillis);
        }
    }

    /**
     * Creates a window.
     *
     * @param minimumSize the number of samples that stay however old they are
     * @param maximumSize the most samples
     */
    SampleWindow(int minimumSize, int maximumSize) {
        this.minimumSize = minimumSize;
        this.maximumSize = maximumSize;
    }

    void add(long nowMillis, double tokens, double value) {
        samples.addLast(new Sample(nowMillis, tokens, value));
        while (samples.size() > maximumSize
                || samples.size() > minimumSize && samples.getFirst().atMillis() < nowMillis - VALIDITY_MILLIS) {
            samples.removeFirst();
        }
    }

    int size() {
        return samples.size();
    }

    List<Sample> samples() {
        return new ArrayList<>(samples);
    }

    /** Returns the value below which a fraction of the values lies; the window must not be empty. */
    double quantile(double fraction) {
        double[] sorted = samples.stream().mapToDouble(Sample::value).sorted().toArray();
        return sorted[(int) (fraction * (sorted.length - 1))];
    }

    void clear() {
        samples.clear();
    }
}
