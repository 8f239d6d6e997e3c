package org.fuchsiatrail.daemon.callers;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * The JSON body of a chat request, in the format of the OpenAI API; unknown fields are ignored.
 *
 * @param model the model, with or without a weight version
 * @param messages the messages, oldest first
 * @param prompt the prompt, used when there are no messages
 * @param maximumTokens the maximum number of tokens to generate, or null
 * @param maximumCompletionTokens the same limit under its newer name, which takes precedence, or null
 * @param stream whether the answer is sent as server-sent events, one per token
 * @param adapter the adapter, or null
 * @param cacheScope the shared cache scope, or null
 * @param priority the priority from 0 (most urgent) to 9, or null
 * @param firstTokenMillis the longest time to the first token that the caller accepts, in milliseconds, or null
 */
record ChatBody(
        String model,
        List<Message> messages,
        String prompt,
        @JsonProperty("max_tokens") Integer maximumTokens,
        @JsonProperty("max_completion_tokens") Integer maximumCompletionTokens,
        boolean stream,
        String adapter,
        @JsonProperty("cache_scope") String cacheScope,
        Integer priority,
        @JsonProperty("first_token_ms") Integer firstTokenMillis) {

    /**
     * One message of the conversation.
     *
     * @param role the author, such as user or assistant
     * @param content a string, or a list of parts with text fields
     */
    record Message(String role, JsonNode content) {

        String text() {
            if (content == null || content.isNull()) {
                return "";
            }
            if (content.isTextual()) {
                return content.asText();
            }
            StringBuilder text = new StringBuilder();
            content.forEach(part -> text.append(part.path("text").asText("")));
            return text.toString();
        }
    }

    String promptText() {
        if (messages == null || messages.isEmpty()) {
            return prompt == null ? "" : prompt;
        }
        StringBuilder conversation = new StringBuilder();
        for (Message message : messages) {
            conversation
                    .append("<|")
                    .append(message.role())
                    .append("|>")
                    .append(message.text())
                    .append('\n');
        }
        return conversation.toString();
    }

    int outputTokenLimit(int defaultLimit) {
        if (maximumCompletionTokens != null) {
            return maximumCompletionTokens;
        }
        return maximumTokens == null ? defaultLimit : maximumTokens;
    }
}
