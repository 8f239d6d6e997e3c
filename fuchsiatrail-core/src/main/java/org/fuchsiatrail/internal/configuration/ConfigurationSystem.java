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
 * Adopts configurations of increasing revision and propagates them.
 *
 * <p>Two routers of each failure domain keep a watch on the store. A router that reads a revision from the store sends
 * it to a few peers in the tick that adopts it, before its heartbeat reports the revision. The other routers see the
 * revision number in heartbeats and request the document.
 */
public final class ConfigurationSystem {

    /** The key of the configuration in the platform's store. */
    public static final String STORE_KEY = "fuchsiatrail/configuration";

    /** The number of routers of each failure domain that keep a watch on the store. */
    private static final int WATCHERS_PER_DOMAIN = 2;

    /** The number of peers to which a revision read from the store is sent, and that are queried after a start. */
    private static final int DIRECT_PEERS = 3;

    /** The minimum interval between two requests to peers for a newer revision. */
    private static final long REQUEST_INTERVAL_MILLIS = 50;

    /** The maximum duration of one watch request. */
    private static final long MAXIMUM_WATCH_MILLIS = 10_000;

    /** The delay before a starting router reads the store, which gives its peers time to respond first. */
    private static final long FIRST_READ_DELAY_MILLIS = 60;

    /** The random addition to the delay of the first read, which spreads the load when many routers start. */
    private static final int FIRST_READ_JITTER_MILLIS = 200;

    /** The delay after a failed watch, with a random addition of up to the same length. */
    private static final int WATCH_BACKOFF_MILLIS = 500;

    private final RouterContext context;
    private final StoreCalls store;
    private final MembershipSystem membership;
    private final List<Consumer<Intent>> listeners = new ArrayList<>();
    private ConfigurationDocument current = ConfigurationDocument.none();
    private byte[] currentBytes = new byte[0];
    private long storeVersion;
    private boolean watchOpen;
    private boolean started;
    private boolean watcher;
    private long checkedOwnersVersion = -1;
    private long nextWatchMillis;
    private long nextRequestMillis;

    /**
     * Creates a system without a configuration.
     *
     * @param context the router's context
     * @param store the client of the platform's store
     * @param membership the peers
     */
    public ConfigurationSystem(RouterContext context, StoreCalls store, MembershipSystem membership) {
        this.context = context;
        this.store = store;
        this.membership = membership;
    }

    /**
     * Registers a listener for adopted configurations.
     *
     * @param listener receives the intent of each configuration that comes into force
     */
    public void onAdoption(Consumer<Intent> listener) {
        listeners.add(listener);
    }

    /** Keeps a watch on the store when this router is a watcher or has no configuration yet. */
    public void run() {
        long now = context.now();
        if (!started) {
            started = true;
            nextWatchMillis = now + FIRST_READ_DELAY_MILLIS + context.random().nextInt(FIRST_READ_JITTER_MILLIS);
            membership.sendToRandomPeers(DIRECT_PEERS, new PeerMessage.AskConfiguration(0));
        }
        boolean shouldWatch = current.revision() == 0 || isWatcher();
        if (!watchOpen && shouldWatch && now >= nextWatchMillis) {
            watchOpen = true;
            long waitMillis = current.revision() == 0 ? 0 : MAXIMUM_WATCH_MILLIS;
            StoreRequest request = new StoreRequest.Watch(STORE_KEY, storeVersion, waitMillis);
            store.call(request, waitMillis + context.settings().storeTimeoutMillis(), this::receiveWatchResult);
        }
    }

    private boolean isWatcher() {
        if (checkedOwnersVersion != membership.ownersVersion()) {
            checkedOwnersVersion = membership.ownersVersion();
            watcher = ranksAmongWatchers();
        }
        return watcher;
    }

    private boolean ranksAmongWatchers() {
        List<EntryVm> ranked =
                membership.rankedWithin("watch", context.settings().self().failureDomain());
        int rank = ranked.indexOf(context.settings().self());
        return rank >= 0 && rank < WATCHERS_PER_DOMAIN;
    }

    private void receiveWatchResult(StoreResult result) {
        watchOpen = false;
        int backoffMillis = WATCH_BACKOFF_MILLIS + context.random().nextInt(WATCH_BACKOFF_MILLIS);
        switch (result) {
            case StoreResult.Found found -> applyStored(found);
            case StoreResult.Unchanged unchanged -> nextWatchMillis = context.now();
            case StoreResult.Missing missing -> nextWatchMillis = context.now() + backoffMillis;
            default -> {
                nextWatchMillis = context.now() + backoffMillis;
                context.count("configuration.watch-failures");
            }
        }
    }

    /**
     * Applies a value read from the store.
     *
     * @param found the value
     * @return the document, or null when it is damaged
     */
    ConfigurationDocument applyStored(StoreResult.Found found) {
        nextWatchMillis = context.now();
        storeVersion = Math.max(storeVersion, found.version());
        return parseAndAdopt(found.value(), true);
    }

    private ConfigurationDocument parseAndAdopt(byte[] value, boolean fromStore) {
        try {
            ConfigurationDocument document = Documents.read(value, ConfigurationDocument.class);
            adopt(document, value, fromStore);
            return document;
        } catch (UncheckedIOException e) {
            context.count("configuration.damaged");
            context.log(
                    "configuration",
                    "Damaged configuration ignored; the current one stays in force.",
                    "reason",
                    e.getMessage());
            return null;
        }
    }

    /**
     * Adopts a configuration if its revision is higher than the one in force.
     *
     * @param document the configuration
     * @param value the stored form of the configuration
     * @param fromStore whether it was read from the store, so that peers may not have it yet
     */
    private void adopt(ConfigurationDocument document, byte[] value, boolean fromStore) {
        if (document.revision() <= current.revision()) {
            return;
        }
        current = document;
        currentBytes = value;
        if (fromStore) {
            directPeers().forEach(peer -> sendCurrent(peer.id()));
        }
        membership.scheduleHeartbeat();
        listeners.forEach(listener -> listener.accept(document.intent()));
        context.log("configuration", "Configuration in force.", "revision", document.revision());
    }

    /** Returns the peers to which a revision read from the store is sent directly. */
    private List<EntryVm> directPeers() {
        List<EntryVm> peers = new ArrayList<>(membership.owners());
        peers.remove(context.settings().self());
        List<EntryVm> ranked = Rendezvous.ranked(
                "configuration/" + context.selfId(), peers, vm -> vm.id().value());
        return ranked.subList(0, Math.min(DIRECT_PEERS, ranked.size()));
    }

    private void sendCurrent(EntryVmId peer) {
        // Counts the messages that send the current configuration to a peer.
        context.count("configuration.told");
        membership.send(peer, new PeerMessage.TellConfiguration(current.revision(), currentBytes));
    }

    /**
     * Receives a configuration from a peer.
     *
     * @param message the configuration
     */
    public void receive(PeerMessage.TellConfiguration message) {
        if (message.revision() > current.revision()) {
            parseAndAdopt(message.document(), false);
        }
    }

    /**
     * Sends the configuration to a peer that requests it, if the revision here is higher.
     *
     * @param from the peer
     * @param message the request
     */
    public void receive(EntryVmId from, PeerMessage.AskConfiguration message) {
        if (message.knownRevision() < current.revision()) {
            sendCurrent(from);
        }
    }

    /**
     * Receives the revision of a peer and requests the configuration when that revision is higher.
     *
     * @param from the peer
     * @param revision the revision in force at the peer
     */
    public void receiveRevision(EntryVmId from, long revision) {
        if (revision > current.revision() && context.now() >= nextRequestMillis) {
            nextRequestMillis = context.now() + REQUEST_INTERVAL_MILLIS;
            membership.send(from, new PeerMessage.AskConfiguration(current.revision()));
        }
    }

    /**
     * Returns the configuration in force.
     *
     * @return the document; its revision is 0 before the first adoption
     */
    public ConfigurationDocument current() {
        return current;
    }
}
