package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;

/** Routers whose entries in the platform's store have ended. They may still run, out of touch with the store. */
final class DepartedMembers {

    /** How long departed routers are kept, in milliseconds; longer than replaced version shares. */
    private static final long RETENTION_MILLIS = 120_000;

    private final ForwardingContext context;
    private final Map<EntryVmId, Departure> departures = new HashMap<>();

    private record Departure(EntryVm vm, long atMillis) {}

    DepartedMembers(ForwardingContext context) {
        this.context = context;
    }

    /** Applies a changed item. */
    void itemChanged(StoreItemContent previousContent, StoreItem item) {
        if (item.content() instanceof StoreItemContent.Member member) {
            departures.remove(member.vm().id());
        } else if (previousContent instanceof StoreItemContent.Member previous) {
            departures.values().removeIf(departure -> context.now() - departure.atMillis() > RETENTION_MILLIS);
            departures.put(previous.vm().id(), new Departure(previous.vm(), context.now()));
        }
    }

    /** The routers that departed within a time, in milliseconds. */
    List<EntryVm> within(long millis) {
        List<EntryVm> departed = new ArrayList<>();
        for (Departure departure : departures.values()) {
            if (context.now() - departure.atMillis() <= millis) {
                departed.add(departure.vm());
            }
        }
        return departed;
    }
}
