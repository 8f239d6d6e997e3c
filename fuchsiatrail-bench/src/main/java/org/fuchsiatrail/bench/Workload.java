package org.fuchsiatrail.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiatrail.ChatCall;
import org.fuchsiatrail.PrefixChain;

/**
 * Generates requests of a deployment profile from a seed. Prompts have three nested prefix levels; a few prefixes are
 * requested far more often than the others, and one set of prefixes is shared by all customers.
 */
final class Workload {

    /** The fraction of requests whose prefixes all customers share, such as a common lesson or set of rules. */
    private static final double SHARED_FRACTION = 0.25;

    /** The fraction of requests that come from the two large customers. */
    private static final double LARGE_CUSTOMER_FRACTION = 0.5;

    private static final String SHARED_SCOPE = "shared";

    private final DeploymentProfile profile;
    private final SplittableRandom random;
    private final Map<String, List<Integer>> caseNumbersByPath = new HashMap<>();
    private final Map<String, String> textsByPath = new HashMap<>();
    private int prefixOffset;
    private int lastCaseNumber;

    Workload(DeploymentProfile profile, long seed) {
        this.profile = profile;
        this.random = new SplittableRandom(seed);
    }

    /**
     * A request and the customer that sends it.
     *
     * @param customer the customer's name
     * @param call the chat request
     */
    record Request(String customer, ChatCall call) {}

    /** Moves all following requests to new prefixes, as a new course or statute does. */
    void shiftHotPrefixes() {
        prefixOffset += 100;
    }

    Request nextRequest() {
        boolean shared = random.nextDouble() < SHARED_FRACTION;
        int customer = pickCustomer();
        int firstLevel = pickSkewed(profile.firstLevelPrefixesPerCustomer()) + prefixOffset;
        int secondLevel = pickSkewed(profile.secondLevelPrefixesPerFirstLevel());
        String owner = shared ? SHARED_SCOPE : "customer-" + customer;
        String firstLevelPath = owner + "/core-" + firstLevel;
        String secondLevelPath = firstLevelPath + "/tenant-" + secondLevel;
        String prompt = text(firstLevelPath, profile.firstLevelTokens())
                + text(secondLevelPath, profile.secondLevelTokens())
                + text(secondLevelPath + "/case-" + pickCase(secondLevelPath), profile.thirdLevelTokens());
        ChatCall call = new ChatCall(
                "tutor",
                "",
                shared ? SHARED_SCOPE : "",
                prompt,
                profile.answerTokens(),
                DeploymentProfile.FIRST_TOKEN_DEADLINE_MILLIS,
                0,
                "",
                "");
        return new Request("customer-" + customer, call);
    }

    /** Returns the random time until the next request, exponentially distributed for a Poisson arrival rate. */
    double nextInterarrivalMillis(double requestsPerSecond) {
        return -Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond;
    }

    private int pickCustomer() {
        return random.nextDouble() < LARGE_CUSTOMER_FRACTION
                ? random.nextInt(2)
                : 2 + random.nextInt(profile.customers() - 2);
    }

    private int pickSkewed(int count) {
        return (int) (count * random.nextDouble() * random.nextDouble());
    }

    private int pickCase(String secondLevelPath) {
        List<Integer> caseNumbers = caseNumbersByPath.computeIfAbsent(secondLevelPath, path -> new ArrayList<>());
        if (!caseNumbers.isEmpty() && random.nextDouble() < profile.repeatedPromptFraction()) {
            return caseNumbers.get(caseNumbers.size() - 1 - pickSkewed(Math.min(4, caseNumbers.size())));
        }
        lastCaseNumber++;
        caseNumbers.add(lastCaseNumber);
        return lastCaseNumber;
    }

    private String text(String path, int tokens) {
        if (path.contains("/case-")) {
            return fillText(path, tokens);
        }
        return textsByPath.computeIfAbsent(path, newPath -> fillText(newPath, tokens));
    }

    private static String fillText(String path, int tokens) {
        int lengthBytes = tokens * PrefixChain.BYTES_PER_TOKEN;
        StringBuilder text = new StringBuilder(lengthBytes + path.length());
        while (text.length() < lengthBytes) {
            text.append(path).append(' ').append(text.length()).append(' ');
        }
        text.setLength(lengthBytes);
        return text.toString();
    }
}
