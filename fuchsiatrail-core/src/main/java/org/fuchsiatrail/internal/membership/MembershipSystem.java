package org.fuchsiatrail.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.StoreCalls;

/**
 * Maintains the table of peers from the platform's list, which may be outdated, and from heartbeats.
 *
 * <p>The table is only a hint: no guarantee depends on two routers having the same view of it.
 */
public final class MembershipSystem {

    /** The interval between two reads of the platform's list. */
    private static final long LIST_INTERVAL_MILLIS = 5_000;

    /** The heartbeat interval grows with the number of peers, so that the bandwidth of a router stays constant. */
    private static final long HEARTBEAT_INTERVAL_MILLIS_PER_PEER = 20;

    /** The interval between two heartbeats to a peer that is dead or only listed. */
    private static final long PROBE_INTERVAL_MILLIS = 1_000;

    private final RouterContext context;
    private final StoreCalls store;
    private final Supplier<PeerMessage.Heartbeat> heartbeatSupplier;
    private final Map<EntryVmId, Member> members = new TreeMap<>();
    private List<EntryVm> owners = List.of();
    private long ownersVersion;
    private List<EntryVm> listed = List.of();
    private long nextListMillis;
    private long nextHeartbeatMillis;
    private boolean heartbeatScheduled;

    /**
     * Creates a table that contains only the configured seeds.
     *
     * @param context the router's context
     * @param store the client of the platform's store
     * @param heartbeatSupplier creates the next heartbeat to send
     */
    public MembershipSystem(
            RouterContext context, StoreCalls store, Supplier<PeerMessage.Heartbeat> heartbeatSupplier) {
        this.context = context;
        this.store = store;
        this.heartbeatSupplier = heartbeatSupplier;
        for (EntryVm seed : context.settings().seeds()) {
            if (!seed.id().equals(context.selfId())) {
                members.put(seed.id(), new Member(seed));
            }
        }
        updateOwners();
    }

    /** Reads the platform's list, detects failed peers and sends heartbeats. */
    public void run() {
        long now = context.now();
        if (now >= nextListMillis) {
            nextListMillis = now + LIST_INTERVAL_MILLIS;
            store.call(new StoreRequest.ListVms(), this::applyList);
        }
        detectFailures(now);
        if (now >= nextHeartbeatMillis || heartbeatScheduled) {
            heartbeatScheduled = false;
            nextHeartbeatMillis = now + heartbeatInterval();
            sendHeartbeats(now);
        }
    }

    /** Sends a heartbeat at the next run instead of after the interval, because its content is urgent for peers. */
    public void scheduleHeartbeat() {
        heartbeatScheduled = true;
    }

    /**
     * Receives a heartbeat.
     *
     * @param heartbeat the heartbeat
     * @return true when the peer is new, has recovered or has restarted
     */
    public boolean receive(PeerMessage.Heartbeat heartbeat) {
        EntryVmId id = heartbeat.vm().id();
        if (id.equals(context.selfId())) {
            return false;
        }
        Member member = members.computeIfAbsent(id, key -> new Member(heartbeat.vm()));
        boolean outdated = heartbeat.incarnation() < member.incarnation
                || heartbeat.incarnation() == member.incarnation && heartbeat.sequence() <= member.sequence;
        if (outdated) {
            return false;
        }
        boolean joined = member.incarnation != heartbeat.incarnation() || !member.canOwnKeys();
        member.vm = heartbeat.vm();
        member.incarnation = heartbeat.incarnation();
        member.sequence = heartbeat.sequence();
        member.revision = heartbeat.revision();
        member.lastHeartbeatMillis = context.now();
        Member.State state = heartbeat.stopping() ? Member.State.LEAVING : Member.State.ALIVE;
        changeState(member, state);
        return joined && state == Member.State.ALIVE;
    }

    /**
     * Sends a message to a peer.
     *
     * @param to the peer
     * @param message the message
     * @return false when the peer is not known
     */
    public boolean send(EntryVmId to, PeerMessage message) {
        Member member = members.get(to);
        if (member == null) {
            return false;
        }
        context.emit(new Output.SendToPeer(to, member.vm.address(), message));
        return true;
    }

    /**
     * Sends a message to randomly selected peers that are not dead.
     *
     * @param count the maximum number of peers
     * @param message the message
     */
    public void sendToRandomPeers(int count, PeerMessage message) {
        List<Member> peers = new ArrayList<>(members.values());
        peers.removeIf(member -> member.state == Member.State.DEAD);
        for (int sent = 0; sent < count && !peers.isEmpty(); sent++) {
            Member peer = peers.remove(context.random().nextInt(peers.size()));
            context.emit(new Output.SendToPeer(peer.vm.id(), peer.vm.address(), message));
        }
    }

    /**
     * Returns the peers in any state.
     *
     * @return the peers, ordered by name
     */
    public Collection<Member> members() {
        return members.values();
    }

    /**
     * Returns the routers that can own keys, including this one unless it is shutting down.
     *
     * @return the entry VMs: the peers by name, then this router
     */
    public List<EntryVm> owners() {
        return owners;
    }

    /**
     * Returns the version of the list of owners, which increases when the list changes.
     *
     * @return the version
     */
    public long ownersVersion() {
        return ownersVersion;
    }

    /**
     * Returns the owner of a key.
     *
     * @param key the key
     * @return the owner, or empty when no router can own keys
     */
    public Optional<EntryVmId> owner(String key) {
        return Rendezvous.first(key, owners, vm -> vm.id().value()).map(EntryVm::id);
    }

    /**
     * Ranks the routers of one failure domain for a key.
     *
     * @param key the key
     * @param domain the failure domain
     * @return the routers of that domain, or of all domains when it has none, highest rank first
     */
    public List<EntryVm> rankedWithin(String key, FailureDomain domain) {
        List<EntryVm> candidates = new ArrayList<>();
        for (EntryVm vm : owners) {
            if (vm.failureDomain().equals(domain)) {
                candidates.add(vm);
            }
        }
        return Rendezvous.ranked(
                key, candidates.isEmpty() ? owners : candidates, vm -> vm.id().value());
    }

    /**
     * Returns the platform's list as last read.
     *
     * @return the list
     */
    public List<EntryVm> listed() {
        return listed;
    }

    /** Recomputes the routers that can own keys; also called when this router begins to shut down. */
    public void updateOwners() {
        List<EntryVm> updated = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.canOwnKeys()) {
                updated.add(member.vm);
            }
        }
        if (!context.stopping()) {
            updated.add(context.settings().self());
        }
        owners = List.copyOf(updated);
        ownersVersion++;
    }

    private void applyList(StoreResult result) {
        if (!(result instanceof StoreResult.VmList list)) {
            return;
        }
        listed = list.vms();
        for (EntryVm vm : listed) {
            if (vm.address().isEmpty() || vm.id().equals(context.selfId())) {
                continue;
            }
            Member member = members.computeIfAbsent(vm.id(), id -> new Member(vm));
            if (member.state == Member.State.LISTED || member.state == Member.State.DEAD) {
                member.vm = vm;
            }
        }
        members.values().removeIf(member -> member.state == Member.State.DEAD && isUnlisted(member));
    }

    private boolean isUnlisted(Member member) {
        return listed.stream().noneMatch(vm -> vm.id().equals(member.vm.id()));
    }

    private void detectFailures(long now) {
        for (Member member : members.values()) {
            if (member.state == Member.State.LISTED || member.state == Member.State.DEAD) {
                continue;
            }
            long millisSinceHeartbeat = now - member.lastHeartbeatMillis;
            if (millisSinceHeartbeat >= context.settings().deadAfterMillis() + heartbeatInterval()) {
                changeState(member, Member.State.DEAD);
            } else if (millisSinceHeartbeat >= context.settings().suspectAfterMillis() + heartbeatInterval()
                    && member.state == Member.State.ALIVE) {
                changeState(member, Member.State.SUSPECT);
            }
        }
    }

    private void changeState(Member member, Member.State state) {
        if (member.state == state) {
            return;
        }
        context.log("membership", "Peer changed state.", "peer", member.vm.id(), "from", member.state, "to", state);
        member.state = state;
        updateOwners();
    }

    private long heartbeatInterval() {
        return Math.max(context.settings().heartbeatMillis(), members.size() * HEARTBEAT_INTERVAL_MILLIS_PER_PEER);
    }

    private void sendHeartbeats(long now) {
        PeerMessage.Heartbeat heartbeat = heartbeatSupplier.get();
        for (Member member : members.values()) {
            boolean unresponsive = member.state == Member.State.DEAD || member.state == Member.State.LISTED;
            if (unresponsive && now < member.nextProbeMillis) {
                continue;
            }
            member.nextProbeMillis = now + PROBE_INTERVAL_MILLIS;
            context.emit(new Output.SendToPeer(member.vm.id(), member.vm.address(), heartbeat));
        }
    }
}
