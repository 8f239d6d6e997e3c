package org.fuchsiatrail.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.PrefixChain;

/** Makes requests of the users' shape from a seed: three nested prefix levels, a few very hot, one shared by all. */
final class Workload {

    /** The part of requests about the lesson or the rules that every customer shares. */
    private static final double SHARED_PART = 0.25;

    /** The part of requests of the two large customers. */
    private static final double LARGE_PART = 0.5;

    private static final String SHARED_SCOPE = "shared";

    private final Deployment deployment;
    private final SplittableRandom random;
    private final Map<String, List<Integer>> cases = new HashMap<>();
    private final Map<String, String> texts = new HashMap<>();
    private int shift;
    private int serial;

    Workload(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
    }

    /**
     * One request.
     *
     * @param customer the customer's name
     * @param call what it asks
     */
    record Request(String customer, ChatCall call) {}

    /** Makes other prefixes hot from now on, as a new course or statute does. */
    void shiftHotPrefixes() {
        shift += 100;
    }

    Request next() {
        boolean shared = random.nextDouble() < SHARED_PART;
        int customer = pickCustomer();
        int core = skewed(deployment.coresPerCustomer()) + shift;
        int tenant = skewed(deployment.tenantsPerCore());
        String owner = shared ? SHARED_SCOPE : "customer-" + customer;
        String corePath = owner + "/core-" + core;
        String tenantPath = corePath + "/tenant-" + tenant;
        String prompt = text(corePath, deployment.coreTokens())
                + text(tenantPath, deployment.tenantTokens())
                + text(tenantPath + "/case-" + pickCase(tenantPath), deployment.caseTokens());
        ChatCall call = new ChatCall(
                "tutor",
                "",
                shared ? SHARED_SCOPE : "",
                prompt,
                deployment.answerTokens(),
                Deployment.DEADLINE_MILLIS,
                0,
                "",
                "");
        return new Request("customer-" + customer, call);
    }

    /** Returns the time to the next request at a rate, in milliseconds. */
    double gapMillis(double requestsPerSecond) {
        return -Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond;
    }

    private int pickCustomer() {
        return random.nextDouble() < LARGE_PART ? random.nextInt(2) : 2 + random.nextInt(deployment.customers() - 2);
    }

    private int skewed(int count) {
        return (int) (count * random.nextDouble() * random.nextDouble());
    }

    private int pickCase(String tenantPath) {
        List<Integer> known = cases.computeIfAbsent(tenantPath, key -> new ArrayList<>());
        if (!known.isEmpty() && random.nextDouble() < deployment.repeatedCases()) {
            return known.get(known.size() - 1 - skewed(Math.min(4, known.size())));
        }
        serial++;
        known.add(serial);
        return serial;
    }

    private String text(String path, int tokens) {
        if (path.contains("/case-")) {
            return filled(path, tokens);
        }
        return texts.computeIfAbsent(path, key -> filled(key, tokens));
    }

    private static String filled(String path, int tokens) {
        int length = tokens * PrefixChain.BYTES_PER_TOKEN;
        StringBuilder text = new StringBuilder(length + path.length());
        while (text.length() < length) {
            text.append(path).append(' ').append(text.length()).append(' ');
        }
        text.setLength(length);
        return text.toString();
    }
}
