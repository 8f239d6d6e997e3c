package org.fuchsiatrail.bench;

/**
 * The size, settings and traffic of one user's deployment. Prompts consist of three nested prefix levels.
 *
 * @param name the deployment's name in tables and file names
 * @param domainDistanceMillis the network delay between failure domains, in milliseconds
 * @param recomputeWeight the router setting that weighs recomputed prompt tokens against the time to the first token
 * @param customers the number of customers; the first two are large
 * @param firstLevelTokens tokens of the first prefix level: course or statute material
 * @param firstLevelPrefixesPerCustomer distinct first-level prefixes of each customer
 * @param secondLevelTokens tokens of the second prefix level
 * @param secondLevelPrefixesPerFirstLevel distinct second-level prefixes under each first-level prefix
 * @param thirdLevelTokens tokens of the third level: the single case that a request is about
 * @param answerTokens tokens of an answer
 * @param repeatedPromptFraction the fraction of requests, from 0 to 1, whose whole prompt was sent before
 */
record DeploymentProfile(
        String name,
        long domainDistanceMillis,
        double recomputeWeight,
        int customers,
        int firstLevelTokens,
        int firstLevelPrefixesPerCustomer,
        int secondLevelTokens,
        int secondLevelPrefixesPerFirstLevel,
        int thirdLevelTokens,
        int answerTokens,
        double repeatedPromptFraction) {

    static final int FAILURE_DOMAINS = 3;
    static final int ROUTERS = 6;
    static final int ENGINES = 6;
    static final int CACHE_CAPACITY_CHECKPOINTS = 300;
    static final long PREFILL_TOKENS_PER_SECOND = 8_000;
    static final long FIRST_TOKEN_DEADLINE_MILLIS = 10_000;

    int promptTokens() {
        return firstLevelTokens + secondLevelTokens + thirdLevelTokens;
    }

    static DeploymentProfile huaman() {
        return new DeploymentProfile("huaman", 1, 0.5, 8, 4_096, 3, 1_024, 6, 512, 60, 0.5);
    }

    static DeploymentProfile bundesstelle() {
        return new DeploymentProfile("bundesstelle", 2, 3.0, 8, 8_192, 2, 1_024, 4, 512, 60, 0.7);
    }
}
