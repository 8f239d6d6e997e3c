package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.forwarding.ForwardingOutput;

/**
 * Links between routers of an {@link EngineFleet} that lose all messages in one direction. Once a silence is noticed,
 * the routers connect anew and send again the updates of which they have no acknowledgement; queries and replies are
 * lost.
 */
final class FleetSilence {

    private final Map<Link, List<Runnable>> lostUpdatesByLink = new HashMap<>();

    private record Link(EntryVmId from, EntryVmId to) {}

    void begin(ForwardingFixture from, ForwardingFixture to) {
        lostUpdatesByLink.putIfAbsent(link(from, to), new ArrayList<>());
    }

    void end(ForwardingFixture from, ForwardingFixture to) {
        List<Runnable> lost = lostUpdatesByLink.remove(link(from, to));
        if (lost != null) {
            lost.forEach(Runnable::run);
        }
    }

    /** Returns a delivery that is lost while its link is silent; that of an update follows when the silence ends. */
    Runnable guard(ForwardingFixture from, ForwardingOutput.SendToPeer message, Runnable delivery) {
        return () -> {
            List<Runnable> lost = lostUpdatesByLink.get(new Link(from.self().id(), message.to()));
            if (lost == null) {
                delivery.run();
            } else if (isPureUpdate(message.message())) {
                lost.add(delivery);
            }
        };
    }

    private static boolean isPureUpdate(PeerMessage.ForwardingNews message) {
        return !message.wantsItems()
                && message.coversUpTo() == 0
                && message.streamQueries().isEmpty()
                && message.streamReplies().isEmpty()
                && message.openStreamQueries().isEmpty()
                && message.openStreamReplies().isEmpty();
    }

    private static Link link(ForwardingFixture from, ForwardingFixture to) {
        return new Link(from.self().id(), to.self().id());
    }
}
