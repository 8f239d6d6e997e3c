package org.fuchsiatrail.internal.configuration;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.internal.membership.MembershipSystem;
import org.fuchsiatrail.internal.membership.Rendezvous;
import org.fuchsiatrail.internal.router.RouterContext;
import org.fuchsiatrail.internal.store.Documents;
import org.fuchsiatrail.internal.store.StoreCalls;

/**
 * Adopts configurations, only ever higher revisions, and spreads them.
 *
 * <p>Two routers of each failure domain hold a watch on the store. A router that read a revision there hands it to a
 * few peers in the tick that adopts it, before its heartbeat reports it; others hear the number in heartbeats and ask.
 */
public final class ConfigurationSystem {

    /** The key of the configuration in the platform's store. */
    public static final String STORE_KEY = "fuchsiatrail/configuration";

    /** Routers of each failure domain that hold a watch. */
    private static final int WATCH_HOLDERS = 2;

    /** Peers that are given a revision at once by the router that read it from the store. */
    private static final int FIRST_PEERS = 3;

    /** The least time between two questions to peers for a revision, in milliseconds. */
    private static final long ASK_INTERVAL_MILLIS = 50;

    /** The longest wait of one watch, in milliseconds. */
    private static final long WATCH_MILLIS = 10_000;

    /** How long a starting router waits for its peers before it reads the store, in milliseconds. */
    private static final long PEERS_FIRST_MILLIS = 60;

    /** The spread of the first reading of the store when many routers start, in milliseconds. */
    private static final int READ_SPREAD_MILLIS = 200;

    /** The wait after a failed watch, in milliseconds, with as much again by chance. */
    private static final int WATCH_BACKOFF_MILLIS = 500;

    private final RouterContext context;
    private final StoreCalls store;
    private final MembershipSystem membership;
    private final List<Consumer<Intent>> listeners = new ArrayList<>();
    private ConfigurationDocument current = ConfigurationDocument.none();
    private byte[] currentBytes = new byte[0];
    private long storeVersion;
    private boolean watching;
    private boolean started;
    private boolean watchHolder;
    private long holderVersion = -1;
    private long nextWatchMillis;
    private long nextAskMillis;

    /**
     * Creates a system without a configuration.
     *
     * @param context the router's context
     * @param store the calls to the platform's store
     * @param membership the peers
     */
    public ConfigurationSystem(RouterContext context, StoreCalls store, MembershipSystem membership) {
        this.context = context;
        this.store = store;
        this.membership = membership;
    }

    /**
     * Adds a listener that is told of each adopted configuration.
     *
     * @param listener the listener
     */
    public void onAdoption(Consumer<Intent> listener) {
        listeners.add(listener);
    }

    /** Keeps a watch if this router is one of the holders. */
    public void run() {
        long now = context.now();
        if (!started) {
            started = true;
            nextWatchMillis = now + PEERS_FIRST_MILLIS + context.random().nextInt(READ_SPREAD_MILLIS);
            membership.sendToSome(FIRST_PEERS, new PeerMessage.AskConfiguration(0));
        }
        boolean wanted = current.revision() == 0 || isWatchHolder();
        if (!watching && wanted && now >= nextWatchMillis) {
            watching = true;
            long wait = current.revision() == 0 ? 0 : WATCH_MILLIS;
            StoreRequest request = new StoreRequest.Watch(STORE_KEY, storeVersion, wait);
            store.call(request, wait + context.settings().storeTimeoutMillis(), this::takeWatch);
        }
    }

    private boolean isWatchHolder() {
        if (holderVersion != membership.ownersVersion()) {
            holderVersion = membership.ownersVersion();
            watchHolder = ranksAmongHolders();
        }
        return watchHolder;
    }

    private boolean ranksAmongHolders() {
        List<EntryVm> ranked =
                membership.rankedWithin("watch", context.settings().self().failureDomain());
        int rank = ranked.indexOf(context.settings().self());
        return rank >= 0 && rank < WATCH_HOLDERS;
    }

    private void takeWatch(StoreResult result) {
        watching = false;
        int backoff = WATCH_BACKOFF_MILLIS + context.random().nextInt(WATCH_BACKOFF_MILLIS);
        switch (result) {
            case StoreResult.Found found -> takeStored(found);
            case StoreResult.Unchanged unchanged -> nextWatchMillis = context.now();
            case StoreResult.Missing missing -> nextWatchMillis = context.now() + backoff;
            default -> {
                nextWatchMillis = context.now() + backoff;
                context.count("configuration.watch-failures");
            }
        }
    }

    /**
     * Takes a value read from the store.
     *
     * @param found the value
     * @return the document, or null when it is damaged
     */
    ConfigurationDocument takeStored(StoreResult.Found found) {
        nextWatchMillis = context.now();
        storeVersion = Math.max(storeVersion, found.version());
        return take(found.value(), true);
    }

    private ConfigurationDocument take(byte[] value, boolean fromStore) {
        try {
            ConfigurationDocument document = Documents.read(value, ConfigurationDocument.class);
            adopt(document, value, fromStore);
            return document;
        } catch (UncheckedIOException e) {
            context.count("configuration.damaged");
            context.log("configuration", "Damaged configuration ignored.", "reason", e.getMessage());
            return null;
        }
    }

    /**
     * Adopts a configuration if its revision is higher than the one in force.
     *
     * @param document the configuration
     * @param value its stored form
     * @param fromStore whether it was read from the store, so that peers may not have it yet
     */
    private void adopt(ConfigurationDocument document, byte[] value, boolean fromStore) {
        if (document.revision() <= current.revision()) {
            return;
        }
        current = document;
        currentBytes = value;
        if (fromStore) {
            firstPeers().forEach(peer -> tell(peer.id()));
        }
        membership.announceSoon();
        listeners.forEach(listener -> listener.accept(document.intent()));
        context.log("configuration", "Configuration in force.", "revision", document.revision());
    }

    /** Returns the few peers that are given a revision, or asked for one, before others are heard. */
    private List<EntryVm> firstPeers() {
        List<EntryVm> peers = new ArrayList<>(membership.owners());
        peers.remove(context.settings().self());
        List<EntryVm> ranked = Rendezvous.ranked(
                "configuration/" + context.selfId(), peers, vm -> vm.id().value());
        return ranked.subList(0, Math.min(FIRST_PEERS, ranked.size()));
    }

    private void tell(EntryVmId peer) {
        context.count("configuration.told");
        membership.send(peer, new PeerMessage.TellConfiguration(current.revision(), currentBytes));
    }

    /**
     * Takes a configuration from a peer.
     *
     * @param message the message
     */
    public void receive(PeerMessage.TellConfiguration message) {
        if (message.revision() > current.revision()) {
            take(message.document(), false);
        }
    }

    /**
     * Answers a peer that asks for the configuration.
     *
     * @param from the peer
     * @param message the message
     */
    public void receive(EntryVmId from, PeerMessage.AskConfiguration message) {
        if (message.knownRevision() < current.revision()) {
            tell(from);
        }
    }

    /**
     * Compares a peer's revision with the one in force here.
     *
     * @param from the peer
     * @param revision its revision
     */
    public void receiveRevision(EntryVmId from, long revision) {
        if (revision > current.revision() && context.now() >= nextAskMillis) {
            nextAskMillis = context.now() + ASK_INTERVAL_MILLIS;
            membership.send(from, new PeerMessage.AskConfiguration(current.revision()));
        }
    }

    /**
     * Returns the configuration in force.
     *
     * @return the document; revision 0 before the first
     */
    public ConfigurationDocument current() {
        return current;
    }
}
