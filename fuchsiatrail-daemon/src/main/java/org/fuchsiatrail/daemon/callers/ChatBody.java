package org.fuchsiatrail.daemon.callers;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * The body of a chat request, in the form that clients of OpenAI's interface send; unknown fields are ignored.
 *
 * @param model the model
 * @param messages the messages, oldest first
 * @param prompt the prompt, in place of messages
 * @param maximumTokens the most tokens to generate
 * @param maximumCompletionTokens the newer name of the same
 * @param stream whether tokens are sent one by one
 * @param adapter the adapter, or null
 * @param cacheScope the shared cache scope, or null
 * @param priority 0 is the most urgent, or null
 * @param firstTokenMillis the time to the first token the caller accepts, or null
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
     * One message.
     *
     * @param role who speaks
     * @param content a text, or a list of parts with texts
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

    String wholePrompt() {
        if (messages == null || messages.isEmpty()) {
            return prompt == null ? "" : prompt;
        }
        StringBuilder whole = new StringBuilder();
        for (Message message : messages) {
            whole.append("<|")
                    .append(message.role())
                    .append("|>")
                    .append(message.text())
                    .append('\n');
        }
        return whole.toString();
    }

    int tokens(int standard) {
        if (maximumCompletionTokens != null) {
            return maximumCompletionTokens;
        }
        return maximumTokens == null ? standard : maximumTokens;
    }
}
