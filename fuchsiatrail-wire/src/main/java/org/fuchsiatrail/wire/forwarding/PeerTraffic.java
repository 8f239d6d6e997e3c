package org.fuchsiatrail.wire.forwarding;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.Clock;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.PeerContent;
import org.fuchsiatrail.forwarding.PeerUpdateSize;
import org.fuchsiatrail.wire.observe.LogLines;
import org.fuchsiatrail.wire.observe.RouterMetrics;

/**
 * Counts the bytes of peer updates by kind of content. Logs when a router sends more of them than its allowance, on
 * average over an interval.
 */
final class PeerTraffic {

    /** The bytes that a router may send to its peers a second, on average. */
    static final long ALLOWED_BYTES_PER_SECOND = 24_000;

    /** The time over which bytes are averaged, and the shortest time between two log lines, in milliseconds. */
    static final long INTERVAL_MILLIS = 5_000;

    private static final PeerContent[] CONTENTS = PeerContent.values();

    private final RouterMetrics metrics;
    private final Clock steadyClock;
    private final String[] sentNames = new String[CONTENTS.length];
    private final String[] receivedNames = new String[CONTENTS.length];
    private final long[] sentBytes = new long[CONTENTS.length];
    private final Set<EntryVmId> recipients = new HashSet<>();
    private PeerMessage.ForwardingNews lastSent;
    private PeerUpdateSize lastSentSize;
    private long intervalStartMillis;

    PeerTraffic(RouterMetrics metrics, Clock steadyClock) {
        this.metrics = metrics;
        this.steadyClock = steadyClock;
        this.intervalStartMillis = steadyClock.nowMillis();
        for (PeerContent content : CONTENTS) {
            sentNames[content.ordinal()] = "peers.sent-bytes." + content.label();
            receivedNames[content.ordinal()] = "peers.received-bytes." + content.label();
        }
    }

    void sent(EntryVmId recipient, PeerMessage.ForwardingNews update) {
        endInterval();
        // The same update goes to many recipients, one after the other.
        if (update != lastSent) {
            lastSent = update;
            lastSentSize = PeerUpdateSize.of(update);
        }
        recipients.add(recipient);
        for (PeerContent content : CONTENTS) {
            sentBytes[content.ordinal()] += lastSentSize.bytes(content);
        }
        count(sentNames, lastSentSize);
    }

    void received(PeerMessage.ForwardingNews update) {
        count(receivedNames, PeerUpdateSize.of(update));
    }

    private void count(String[] names, PeerUpdateSize size) {
        for (PeerContent content : CONTENTS) {
            if (size.bytes(content) > 0) {
                metrics.count(names[content.ordinal()], size.bytes(content));
            }
        }
    }

    private void endInterval() {
        long elapsedMillis = steadyClock.nowMillis() - intervalStartMillis;
        if (elapsedMillis < INTERVAL_MILLIS) {
            return;
        }
        long totalBytes = 0;
        Map<String, Object> fields = new LinkedHashMap<>();
        for (PeerContent content : CONTENTS) {
            totalBytes += sentBytes[content.ordinal()];
            fields.put(content.label(), sentBytes[content.ordinal()]);
            sentBytes[content.ordinal()] = 0;
        }
        fields.put("bytes", totalBytes);
        fields.put("millis", elapsedMillis);
        fields.put("recipients", recipients.size());
        if (totalBytes * 1_000 > ALLOWED_BYTES_PER_SECOND * elapsedMillis) {
            LogLines.info("peers", "Peer updates exceeded the allowance of bytes.", fields);
        }
        recipients.clear();
        intervalStartMillis += elapsedMillis;
    }
}
