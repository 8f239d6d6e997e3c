package org.fuchsiatrail.bench;

/**
 * The shape of one user's deployment and of its work.
 *
 * @param name its name
 * @param domainDistanceMillis the delay between failure domains
 * @param recomputeWeight the weight of recomputation in its settings
 * @param customers customers; the first two are large
 * @param coreTokens tokens of the first prefix level: course or statute material
 * @param coresPerCustomer first-level prefixes of each customer
 * @param tenantTokens tokens of the second level
 * @param tenantsPerCore second-level prefixes of each first-level one
 * @param caseTokens tokens of the third level
 * @param answerTokens tokens of an answer
 * @param repeatedCases the part of requests that ask about a case asked about before
 */
record Deployment(
        String name,
        long domainDistanceMillis,
        double recomputeWeight,
        int customers,
        int coreTokens,
        int coresPerCustomer,
        int tenantTokens,
        int tenantsPerCore,
        int caseTokens,
        int answerTokens,
        double repeatedCases) {

    static final int DOMAINS = 3;
    static final int ROUTERS = 6;
    static final int ENGINES = 6;
    static final int CACHE_CHECKPOINTS = 300;
    static final long PREFILL_TOKENS_PER_SECOND = 8_000;
    static final long DEADLINE_MILLIS = 10_000;

    int promptTokens() {
        return coreTokens + tenantTokens + caseTokens;
    }

    static Deployment huaman() {
        return new Deployment("huaman", 1, 0.5, 8, 4_096, 3, 1_024, 6, 512, 60, 0.5);
    }

    static Deployment bundesstelle() {
        return new Deployment("bundesstelle", 2, 3.0, 8, 8_192, 2, 1_024, 4, 512, 60, 0.7);
    }
}
