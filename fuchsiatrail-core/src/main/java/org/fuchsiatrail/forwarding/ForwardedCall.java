package org.fuchsiatrail.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * The properties of a caller's request that routing decisions depend on. Headers and body stay on the network side.
 *
 * @param callerAttemptId the caller's id of this attempt
 * @param host the host that the caller requested
 * @param path the path without its query
 * @param apiKey the API key, or an empty string
 * @param deadlineMillis how long the caller waits for the answer, in milliseconds from receipt
 * @param model the requested model, or an empty string
 * @param inputTokens the number of tokens in the prompt, or 0
 * @param maximumOutputTokens the maximum number of tokens to generate, or 0
 * @param prompt the prompt parts in order; the last is specific to the request or its session
 * @param resumeAfterEventId the id of the last event that the caller received, or an empty string
 * @param resumedAttemptId the caller's id of the attempt that brought the first event of the stream to resume, or an
 *     empty string
 * @param relay what the router allows that relayed the request because it reaches no upstream; empty if none did
 * @param fingerprint a hash of the method, the path with its query, and the body
 */
public record ForwardedCall(
        String callerAttemptId,
        String host,
        String path,
        String apiKey,
        long deadlineMillis,
        String model,
        long inputTokens,
        long maximumOutputTokens,
        List<PromptPart> prompt,
        String resumeAfterEventId,
        String resumedAttemptId,
        Optional<RelayAllowance> relay,
        long fingerprint) {

    /**
     * Returns whether another router relayed the request because it reaches no upstream.
     *
     * @return true if the caller of this router is another router
     */
    public boolean relayed() {
        return relay.isPresent();
    }

    /**
     * Returns whether the caller resumes a stream of which it has received events.
     *
     * @return true if the request names the stream or its last event
     */
    public boolean resumesStream() {
        return !resumeAfterEventId.isEmpty() || !resumedAttemptId.isEmpty();
    }

    /**
     * Returns the prompt parts that other requests may share.
     *
     * @return all parts except the last
     */
    public List<PromptPart> sharedParts() {
        return prompt.isEmpty() ? prompt : prompt.subList(0, prompt.size() - 1);
    }

    /**
     * A prompt part. Prompts with equal parts at the same positions can share them in an engine's cache.
     *
     * @param id identifies the content of the part
     * @param tokens the number of tokens in the part
     */
    public record PromptPart(String id, long tokens) {}
}
