package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;

/**
 * Selects the work that a router tells the recipients of one direction: what differs most from what they were told.
 *
 * <p>Everything is told again after some time, so that a lost update has no lasting effect.
 */
final class WorkOutlet {

    /** When unchanged work is told again, in milliseconds; well within its validity at the recipients. */
    private static final long REPETITION_MILLIS = 2_500;

    /** The prompt tokens whose change weighs as much as that of one running request. */
    private static final double PROMPT_TOKENS_PER_REQUEST = 1_000;

    /** The tokens of KV memory whose change weighs as much as that of one running request. */
    private static final double MEMORY_TOKENS_PER_REQUEST = 4_000;

    /** The time without being told that weighs as much as a change by one running request, in milliseconds. */
    private static final double MILLIS_PER_REQUEST = 5_000;

    private final Map<Integer, Told> toldByUpstream = new HashMap<>();
    private Set<EntryVmId> recipients = Set.of();

    /** Work as it was last told; {@code toAll} is false if a recipient has not heard it. */
    private record Told(PeerMessage.WorkChange work, long atMillis, boolean toAll) {}

    private record Candidate(PeerMessage.WorkChange work, double urgency) {}

    /**
     * Selects the changes for the next update, which count as told.
     *
     * @param currentRecipients the recipients of the update
     * @param current the present work by the upstream's key; an upstream that is absent has none
     * @param maximum the most changes to select
     * @param nowMillis the time
     */
    List<PeerMessage.WorkChange> select(
            List<EntryVm> currentRecipients,
            Map<Integer, PeerMessage.WorkChange> current,
            int maximum,
            long nowMillis) {
        compareRecipients(currentRecipients);
        Set<Integer> upstreams = new HashSet<>(current.keySet());
        upstreams.addAll(toldByUpstream.keySet());
        List<Candidate> candidates = new ArrayList<>();
        for (int upstream : upstreams) {
            PeerMessage.WorkChange work = current.getOrDefault(upstream, none(upstream));
            double urgency = urgency(work, toldByUpstream.get(upstream), nowMillis);
            if (urgency > 0) {
                candidates.add(new Candidate(work, urgency));
            }
        }
        candidates.sort(Comparator.comparingDouble(Candidate::urgency).reversed());
        List<PeerMessage.WorkChange> selected = candidates.stream()
                .limit(Math.max(0, maximum))
                .map(Candidate::work)
                .toList();
        for (PeerMessage.WorkChange work : selected) {
            Told earlier = toldByUpstream.put(work.upstream(), new Told(work, nowMillis, true));
            boolean endRepeated =
                    work.running() == 0 && earlier != null && earlier.work().running() == 0;
            if (endRepeated) {
                toldByUpstream.remove(work.upstream());
            }
        }
        return selected;
    }

    /** Returns the work on an upstream as it was last told. */
    PeerMessage.WorkChange lastTold(int upstream) {
        Told told = toldByUpstream.get(upstream);
        return told == null ? none(upstream) : told.work();
    }

    private void compareRecipients(List<EntryVm> currentRecipients) {
        Set<EntryVmId> ids = new HashSet<>();
        currentRecipients.forEach(recipient -> ids.add(recipient.id()));
        if (!recipients.containsAll(ids)) {
            toldByUpstream.replaceAll((upstream, told) -> new Told(told.work(), told.atMillis(), false));
        }
        recipients = ids;
    }

    private static PeerMessage.WorkChange none(int upstream) {
        return new PeerMessage.WorkChange(upstream, 0, 0, 0, 0, 0);
    }

    private static double urgency(PeerMessage.WorkChange work, Told told, long nowMillis) {
        PeerMessage.WorkChange known =
                told == null || !told.toAll() && work.running() > 0 ? none(work.upstream()) : told.work();
        double change = Math.abs(work.running() - known.running())
                + Math.abs(work.bound() - known.bound())
                + Math.abs(work.promptTokens() - known.promptTokens()) / PROMPT_TOKENS_PER_REQUEST
                + Math.abs(work.memoryTokens() - known.memoryTokens()) / MEMORY_TOKENS_PER_REQUEST;
        long untoldMillis = told == null ? 0 : nowMillis - told.atMillis();
        return change == 0 && untoldMillis < REPETITION_MILLIS ? 0 : change + untoldMillis / MILLIS_PER_REQUEST;
    }
}
