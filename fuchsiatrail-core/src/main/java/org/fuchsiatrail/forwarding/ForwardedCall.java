package org.fuchsiatrail.forwarding;

import java.util.List;

/**
 * What the decisions need to know of a caller's request; its headers and body stay with the network side.
 *
 * @param callerAttempt the caller's id of this attempt
 * @param host the host that the caller named
 * @param path the path without its query
 * @param apiKey the key, or an empty text
 * @param deadlineMillis how long the caller waits, in milliseconds from arrival
 * @param model the model asked for, or an empty text
 * @param inputTokens the tokens of the prompt, or 0
 * @param outputTokens the most tokens to generate, or 0
 * @param prompt the parts of the prompt in order; the last belongs to the request or its session
 * @param resumeAfter the id of the last event the caller has, or an empty text
 * @param fingerprint tells equal requests of one caller apart from others
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
        String resumeAfter,
        long fingerprint) {

    /**
     * A part of a prompt, equal parts in equal places can be shared in an engine's cache.
     *
     * @param id its name
     * @param tokens its length
     */
    public record PromptPart(String id, long tokens) {}
}
