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
 * Keeps the table of peers from the platform's lagging list and from heartbeats.
 *
 * <p>It is a hint only: no promise rests on two routers agreeing about it.
 */
public final class MembershipSystem {

    /** The time between two readings of the platform's list, in milliseconds. */
    private static final long LIST_INTERVAL_MILLIS = 5_000;

    /** Heartbeats slow down with the number of peers, so that a router's bytes a second stay the same. */
    private static final long MILLIS_PER_PEER = 20;

    /** The time between two attempts to reach a silent peer, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 1_000;

    private final RouterContext context;
    private final StoreCalls store;
    private final Supplier<PeerMessage.Heartbeat> heartbeats;
    private final Map<EntryVmId, Member> members = new TreeMap<>();
    private List<EntryVm> owners = List.of();
    private long ownersVersion;
    private List<EntryVm> listed = List.of();
    private long nextListMillis;
    private long nextHeartbeatMillis;
    private boolean announceAtOnce;

    /**
     * Creates an empty table.
     *
     * @param context the router's context
     * @param store the calls to the platform's store
     * @param heartbeats makes the content of a heartbeat
     */
    public MembershipSystem(RouterContext context, StoreCalls store, Supplier<PeerMessage.Heartbeat> heartbeats) {
        this.context = context;
        this.store = store;
        this.heartbeats = heartbeats;
        for (EntryVm seed : context.settings().seeds()) {
            if (!seed.id().equals(context.selfId())) {
                members.put(seed.id(), new Member(seed));
            }
        }
        refreshOwners();
    }

    /** Reads the list, sends heartbeats and judges silence. */
    public void run() {
        long now = context.now();
        if (now >= nextListMillis) {
            nextListMillis = now + LIST_INTERVAL_MILLIS;
            store.call(new StoreRequest.ListVms(), this::takeList);
        }
        judgeSilence(now);
        if (now >= nextHeartbeatMillis || announceAtOnce) {
            announceAtOnce = false;
            nextHeartbeatMillis = now + heartbeatInterval();
            sendHeartbeats(now);
        }
    }

    /** Sends a heartbeat in this tick, because it carries something that peers must know soon. */
    public void announceSoon() {
        announceAtOnce = true;
    }

    /**
     * Takes a heartbeat.
     *
     * @param beat the heartbeat
     * @return true when the peer is new, came back or restarted
     */
    public boolean receive(PeerMessage.Heartbeat beat) {
        EntryVmId id = beat.vm().id();
        if (id.equals(context.selfId())) {
            return false;
        }
        Member member = members.computeIfAbsent(id, key -> new Member(beat.vm()));
        boolean older = beat.incarnation() < member.incarnation
                || beat.incarnation() == member.incarnation && beat.sequence() <= member.sequence;
        if (older) {
            return false;
        }
        boolean fresh = member.incarnation != beat.incarnation() || !member.owning();
        member.vm = beat.vm();
        member.incarnation = beat.incarnation();
        member.sequence = beat.sequence();
        member.revision = beat.revision();
        member.heardAtMillis = context.now();
        Member.State state = beat.stopping() ? Member.State.LEAVING : Member.State.ALIVE;
        changeState(member, state);
        return fresh && state == Member.State.ALIVE;
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
     * Sends a message to a few peers picked by chance among those that are not dead.
     *
     * @param count how many
     * @param message the message
     */
    public void sendToSome(int count, PeerMessage message) {
        List<Member> peers = new ArrayList<>(members.values());
        peers.removeIf(member -> member.state == Member.State.DEAD);
        for (int sent = 0; sent < count && !peers.isEmpty(); sent++) {
            Member peer = peers.remove(context.random().nextInt(peers.size()));
            context.emit(new Output.SendToPeer(peer.vm.id(), peer.vm.address(), message));
        }
    }

    /**
     * Returns the peers.
     *
     * @return all rows, by name
     */
    public Collection<Member> members() {
        return members.values();
    }

    /**
     * Returns the routers that can own shares, this one among them unless it is stopping.
     *
     * @return entry VMs, by name
     */
    public List<EntryVm> owners() {
        return owners;
    }

    /**
     * Returns a number that grows when the routers that can own shares change.
     *
     * @return a version
     */
    public long ownersVersion() {
        return ownersVersion;
    }

    /**
     * Returns the owner of a key.
     *
     * @param key the key
     * @return the owner, or nothing when no router can own
     */
    public Optional<EntryVmId> owner(String key) {
        return Rendezvous.first(key, owners, vm -> vm.id().value()).map(EntryVm::id);
    }

    /**
     * Returns the routers that rank first for a key within one failure domain.
     *
     * @param key the key
     * @param domain the failure domain
     * @return the routers of that domain, or of all domains when it has none, best first
     */
    public List<EntryVm> rankedWithin(String key, FailureDomain domain) {
        List<EntryVm> near = new ArrayList<>();
        for (EntryVm vm : owners) {
            if (vm.failureDomain().equals(domain)) {
                near.add(vm);
            }
        }
        return Rendezvous.ranked(
                key, near.isEmpty() ? owners : near, vm -> vm.id().value());
    }

    /**
     * Returns what the platform's list last said.
     *
     * @return the list
     */
    public List<EntryVm> listed() {
        return listed;
    }

    /** Recomputes who can own shares; called when this router begins to stop. */
    public void refreshOwners() {
        List<EntryVm> fresh = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.owning()) {
                fresh.add(member.vm);
            }
        }
        if (!context.stopping()) {
            fresh.add(context.settings().self());
        }
        owners = List.copyOf(fresh);
        ownersVersion++;
    }

    private void takeList(StoreResult result) {
        if (!(result instanceof StoreResult.VmList list)) {
            return;
        }
        listed = list.vms();
        for (EntryVm vm : listed) {
            if (vm.address().isEmpty() || vm.id().equals(context.selfId())) {
                continue;
            }
            Member known = members.computeIfAbsent(vm.id(), id -> new Member(vm));
            if (known.state == Member.State.LISTED || known.state == Member.State.DEAD) {
                known.vm = vm;
            }
        }
        members.values().removeIf(member -> member.state == Member.State.DEAD && isUnlisted(member));
    }

    private boolean isUnlisted(Member member) {
        return listed.stream().noneMatch(vm -> vm.id().equals(member.vm.id()));
    }

    private void judgeSilence(long now) {
        for (Member member : members.values()) {
            if (member.state == Member.State.LISTED || member.state == Member.State.DEAD) {
                continue;
            }
            long silence = now - member.heardAtMillis;
            if (silence >= context.settings().deadAfterMillis() + heartbeatInterval()) {
                changeState(member, Member.State.DEAD);
            } else if (silence >= context.settings().suspectAfterMillis() + heartbeatInterval()
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
        refreshOwners();
    }

    private long heartbeatInterval() {
        return Math.max(context.settings().heartbeatMillis(), members.size() * MILLIS_PER_PEER);
    }

    private void sendHeartbeats(long now) {
        PeerMessage.Heartbeat beat = heartbeats.get();
        for (Member member : members.values()) {
            boolean silent = member.state == Member.State.DEAD || member.state == Member.State.LISTED;
            if (silent && now < member.nextProbeMillis) {
                continue;
            }
            member.nextProbeMillis = now + PROBE_INTERVAL_MILLIS;
            context.emit(new Output.SendToPeer(member.vm.id(), member.vm.address(), beat));
        }
    }
}
