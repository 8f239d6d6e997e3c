package org.fuchsiatrail.forwarding;

import java.util.OptionalLong;

/**
 * A time in which an upstream that did not execute a request wants no further requests of this router.
 *
 * @param text what the upstream sent
 * @param millis the time from the answer on, in milliseconds, or empty when the text is unreadable
 */
public record RequestedPause(String text, OptionalLong millis) {}
