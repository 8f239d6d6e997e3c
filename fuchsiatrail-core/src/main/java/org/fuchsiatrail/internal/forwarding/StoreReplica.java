package org.fuchsiatrail.internal.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.forwarding.ServiceDefinition;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.VersionShares;

/**
 * A local replica of the platform's store: the newest known version of every item, received from the store or from a
 * peer.
 *
 * <p>An item is replaced only by one of a higher revision, so the state in force never reverts to an older one. Removed
 * items are kept as tombstones and sent to peers like other changes.
 *
 * <p>When the store returns from an older copy, revisions begin anew, and any item of the new era replaces a known one
 * unless its content is older. What operators and routers decided stays in force until it is written again.
 */
final class StoreReplica {

    /** KV memory of an engine whose service does not configure it, in tokens. */
    private static final long DEFAULT_MEMORY_TOKENS = 90_000;

    /**
     * How long members whose entries the store has lost are kept, in milliseconds. They are back within about two
     * seconds after the store has returned.
     */
    private static final long LOST_MEMBER_GRACE_MILLIS = 2_200;

    private final ForwardingContext context;
    private final Map<String, StoreItem> items = new HashMap<>();
    private final Set<String> unreadableKeys = new HashSet<>();
    private final TargetWeightsHistory targetHistory;
    private final VersionShareRegistry versionShares = new VersionShareRegistry();
    private final DepartedMembers departedMembers;
    private final StoreContact contact;

    /** The quarantined requests, with the time at which this router learned of each, in milliseconds. */
    private final Map<Long, Long> quarantinedAtMillis = new HashMap<>();

    private List<StoreItemContent.Quarantine> newQuarantines = new ArrayList<>();

    private BiConsumer<StoreItemContent, StoreItem> listener = (previousContent, item) -> {};
    private RoutingTable routing;
    /** The keys of items of a former era that were not written again. Their revision is 0. */
    private final Set<String> formerEraKeys = new HashSet<>();

    private long lostMembersKeptUntilMillis = Long.MAX_VALUE;
    private boolean everRead;
    private long revision;
    private int memberCount;

    StoreReplica(ForwardingContext context) {
        this.context = context;
        this.targetHistory = new TargetWeightsHistory(context);
        this.departedMembers = new DepartedMembers(context);
        this.contact = new StoreContact(context);
    }

    /** How old the replica may be. */
    StoreContact contact() {
        return contact;
    }

    /** The routers whose entries have ended. */
    DepartedMembers departedMembers() {
        return departedMembers;
    }

    /** How long ago target weights were set. */
    TargetWeightsHistory targetHistory() {
        return targetHistory;
    }

    /** The version shares in force. */
    VersionShareRegistry versionShares() {
        return versionShares;
    }

    /** Sets the listener for changes; it receives the previous content and the new item. */
    void onChange(BiConsumer<StoreItemContent, StoreItem> action) {
        listener = action;
    }

    /** Applies an item if it is newer than the known one. */
    void apply(StoreItem item) {
        StoreItem known = items.get(item.key());
        if (known != null && known.revision() >= item.revision()) {
            return;
        }
        recordReadability(item);
        if (known != null && keepsContentInForce(known, item)) {
            StoreItem inForce = new StoreItem(item.key(), item.revision(), item.value(), known.content());
            items.put(item.key(), inForce);
            versionShares.itemChanged(known.content(), inForce);
            return;
        }
        formerEraKeys.remove(item.key());
        items.put(item.key(), item);
        memberCount += (item.content() instanceof StoreItemContent.Member ? 1 : 0)
                - (known != null && known.content() instanceof StoreItemContent.Member ? 1 : 0);
        switch (item.content()) {
            case StoreItemContent.Routing configuration -> applyRouting(configuration.table(), item);
            case StoreItemContent.TargetWeights target -> {
                long assumedAgeMillis = targetHistory.add(target.model(), target.version(), !everRead);
                context.log(
                        "weights",
                        "Target weights set.",
                        "model",
                        target.model(),
                        "version",
                        target.version(),
                        "revision",
                        item.revision(),
                        "assumedAgeMillis",
                        assumedAgeMillis);
            }
            case StoreItemContent.Upstream upstream -> context.count("store.upstream-entries");
            case StoreItemContent.Member member -> context.count("store.member-entries");
            case StoreItemContent.OrderLeaseHolder holder ->
                context.log(
                        "orders", "Order lease holder set.", "holder", holder.holder(), "revision", item.revision());
            case StoreItemContent.Quarantine quarantine -> {
                quarantinedAtMillis.putIfAbsent(quarantine.fingerprint(), context.now());
                newQuarantines.add(quarantine);
                context.log(
                        "quarantine",
                        "Quarantine in force.",
                        "fingerprint",
                        Long.toHexString(quarantine.fingerprint()),
                        "revision",
                        item.revision());
            }
            case StoreItemContent.CurrentVersionShares current -> logShares(current.shares(), item.revision());
            case StoreItemContent.ReplacedVersionShares replaced -> context.count("store.replaced-version-shares");
            case StoreItemContent.Removed removed -> applyRemoval(known, item.revision());
            case StoreItemContent.Unreadable unreadable -> {
                // Counted and logged before.
            }
        }
        StoreItemContent previous = known == null ? new StoreItemContent.Removed() : known.content();
        versionShares.itemChanged(previous, item);
        departedMembers.itemChanged(previous, item);
        listener.accept(previous, item);
    }

    /** Begins an era of the store, in which revisions are given out again. All items have to be read again. */
    void beginEra() {
        for (StoreItem known : List.copyOf(items.values())) {
            if (known.content() instanceof StoreItemContent.Removed
                    || known.content() instanceof StoreItemContent.Unreadable) {
                items.remove(known.key());
                formerEraKeys.remove(known.key());
                continue;
            }
            StoreItem ofFormerEra = new StoreItem(known.key(), 0, known.value(), known.content());
            items.put(known.key(), ofFormerEra);
            formerEraKeys.add(known.key());
            versionShares.itemChanged(known.content(), ofFormerEra);
        }
        revision = 0;
        lostMembersKeptUntilMillis = context.now() + LOST_MEMBER_GRACE_MILLIS;
        context.wakeAt(lostMembersKeptUntilMillis);
    }

    /** Removes members that the store has lost and that did not register again in time. */
    void run() {
        if (revision == 0 || context.now() < lostMembersKeptUntilMillis) {
            return;
        }
        lostMembersKeptUntilMillis = Long.MAX_VALUE;
        for (String key : List.copyOf(formerEraKeys)) {
            if (items.get(key).content() instanceof StoreItemContent.Member) {
                removeMissing(key, revision);
            }
        }
    }

    private void removeMissing(String key, long readAtRevision) {
        applyGuarded(new StoreItem(key, readAtRevision, new byte[0], new StoreItemContent.Removed()));
    }

    /** Returns whether the version shares in force for a service are newer than what the store has. */
    boolean hasLostShares(String service) {
        return formerEraKeys.stream()
                .map(items::get)
                .anyMatch(item -> item.content() instanceof StoreItemContent.CurrentVersionShares current
                        && current.shares().service().equals(service));
    }

    /** Returns whether an item that the store has lost stays in force until it is written again. */
    private boolean outlivesLoss(StoreItem known) {
        if (!formerEraKeys.contains(known.key())) {
            return false;
        }
        return switch (known.content()) {
            case StoreItemContent.Routing routing -> true;
            case StoreItemContent.TargetWeights target -> true;
            case StoreItemContent.CurrentVersionShares current -> true;
            case StoreItemContent.Member member -> context.now() < lostMembersKeptUntilMillis;
            case StoreItemContent.ReplacedVersionShares replaced -> false;
            case StoreItemContent.Quarantine quarantine -> false;
            case StoreItemContent.OrderLeaseHolder holder -> false;
            case StoreItemContent.Upstream upstream -> false;
            case StoreItemContent.Unreadable unreadable -> false;
            case StoreItemContent.Removed removed -> false;
        };
    }

    /** Returns whether known content of a former era is newer than what the store has under the same key. */
    private static boolean isNewer(StoreItemContent known, StoreItemContent stored) {
        return switch (known) {
            case StoreItemContent.Routing routing ->
                stored instanceof StoreItemContent.Routing older
                        && routing.table().version() > older.table().version();
            case StoreItemContent.TargetWeights target ->
                stored instanceof StoreItemContent.TargetWeights older && target.version() > older.version();
            case StoreItemContent.CurrentVersionShares current ->
                stored instanceof StoreItemContent.CurrentVersionShares older
                        && current.shares().epoch() > older.shares().epoch();
            case StoreItemContent.Upstream upstream ->
                stored instanceof StoreItemContent.Upstream older
                        && upstream.entry().startedAtMillis() > older.entry().startedAtMillis();
            default -> false;
        };
    }

    /** Logs an unreadable item once until its key is readable again or removed, however often it is written. */
    private void recordReadability(StoreItem item) {
        if (!(item.content() instanceof StoreItemContent.Unreadable unreadable)) {
            unreadableKeys.remove(item.key());
            return;
        }
        context.count("store.unreadable-items");
        if (unreadableKeys.add(item.key())) {
            context.log(
                    "store",
                    "Unreadable store item ignored.",
                    "key",
                    item.key(),
                    "revision",
                    item.revision(),
                    "reason",
                    unreadable.reason());
        }
    }

    /** Returns whether the known content of an item stays in force, under the revision of the newer item. */
    private boolean keepsContentInForce(StoreItem known, StoreItem newer) {
        if (newer.content() instanceof StoreItemContent.Unreadable) {
            return outlivesUnreadableItem(known);
        }
        if (!formerEraKeys.contains(known.key())) {
            return false;
        }
        boolean unchanged = known.content().equals(newer.content());
        if (unchanged) {
            formerEraKeys.remove(known.key());
        }
        return unchanged || isNewer(known.content(), newer.content());
    }

    /**
     * Returns whether known content stays in force while its item is unreadable. What operators or routers decided
     * does; an upstream or a router whose item is unreadable is not used.
     */
    private static boolean outlivesUnreadableItem(StoreItem known) {
        return switch (known.content()) {
            case StoreItemContent.Routing routing -> true;
            case StoreItemContent.TargetWeights target -> true;
            case StoreItemContent.Quarantine quarantine -> true;
            case StoreItemContent.CurrentVersionShares current -> true;
            case StoreItemContent.ReplacedVersionShares replaced -> true;
            case StoreItemContent.OrderLeaseHolder holder -> true;
            case StoreItemContent.Upstream upstream -> false;
            case StoreItemContent.Member member -> false;
            case StoreItemContent.Unreadable unreadable -> false;
            case StoreItemContent.Removed removed -> false;
        };
    }

    private void logShares(VersionShares shares, long revision) {
        context.log(
                "versions",
                "Version shares of resumable streams in force.",
                "service",
                shares.service(),
                "epoch",
                shares.epoch(),
                "shares",
                shares.shares(),
                "revision",
                revision);
    }

    private void applyRemoval(StoreItem removed, long revision) {
        context.count("store.removed-items");
        if (removed != null && removed.content() instanceof StoreItemContent.Quarantine quarantine) {
            quarantinedAtMillis.remove(quarantine.fingerprint());
            context.log(
                    "quarantine",
                    "Quarantine no longer in force.",
                    "fingerprint",
                    Long.toHexString(quarantine.fingerprint()),
                    "revision",
                    revision);
        }
    }

    private void applyRouting(RoutingTable table, StoreItem item) {
        routing = table;
        context.count("configuration.adopted");
        context.log(
                "configuration", "Configuration in force.", "version", table.version(), "revision", item.revision());
    }

    /** Applies an item if it is newer than the known one; one that cannot be applied does not keep others from it. */
    void applyGuarded(StoreItem item) {
        context.runGuarded("store item " + item.key(), () -> apply(item));
    }

    /** Applies a full read of the store at a revision; known items that are missing from it were removed. */
    void replaceAll(List<StoreItem> allItems, long readAtRevision) {
        Set<String> presentKeys = new HashSet<>();
        for (StoreItem item : allItems) {
            presentKeys.add(item.key());
            applyGuarded(item);
        }
        for (StoreItem known : List.copyOf(items.values())) {
            boolean missing = !presentKeys.contains(known.key()) && known.revision() <= readAtRevision;
            if (missing && !(known.content() instanceof StoreItemContent.Removed) && !outlivesLoss(known)) {
                removeMissing(known.key(), readAtRevision);
            }
        }
        advanceRevision(readAtRevision);
    }

    /** Records that all changes up to a revision are known. */
    void advanceRevision(long newRevision) {
        revision = Math.max(revision, newRevision);
        everRead |= revision > 0;
    }

    /** The revision up to which all changes are known. */
    long revision() {
        return revision;
    }

    List<StoreItem> changedAfter(long afterRevision) {
        List<StoreItem> changed = new ArrayList<>();
        for (StoreItem item : items.values()) {
            if (item.revision() > afterRevision) {
                changed.add(item);
            }
        }
        return changed;
    }

    Optional<RoutingTable> routing() {
        return Optional.ofNullable(routing);
    }

    /** The KV memory of a service's engines in tokens, or a default when it is not configured. */
    long memoryTokens(String service) {
        return engineTraits(service)
                .map(ServiceDefinition.EngineTraits::memoryTokens)
                .orElse(DEFAULT_MEMORY_TOKENS);
    }

    Optional<ServiceDefinition.EngineTraits> engineTraits(String service) {
        return routing().flatMap(table -> table.service(service)).flatMap(ServiceDefinition::engine);
    }

    /** The newest target weights of a model, if operators requested any. */
    Optional<StoreItemContent.TargetWeights> targetWeights(String model) {
        StoreItemContent.TargetWeights newest = null;
        for (StoreItem item : items.values()) {
            if (item.content() instanceof StoreItemContent.TargetWeights target
                    && target.model().equals(model)) {
                newest = newest == null || target.version() > newest.version() ? target : newest;
            }
        }
        return Optional.ofNullable(newest);
    }

    /** The newest target weights of each model. */
    List<StoreItemContent.TargetWeights> allTargetWeights() {
        List<StoreItemContent.TargetWeights> all = new ArrayList<>();
        for (String model : targetHistory.models()) {
            targetWeights(model).ifPresent(all::add);
        }
        return all;
    }

    /** The holder of the order lease, if the store contains one. */
    Optional<StoreItemContent.OrderLeaseHolder> orderLeaseHolder() {
        for (StoreItem item : items.values()) {
            if (item.content() instanceof StoreItemContent.OrderLeaseHolder holder) {
                return Optional.of(holder);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns for how much longer the store may quarantine a request, in milliseconds, or 0 when it does not. A cut-off
     * router does not see the lease of a quarantine end.
     */
    long quarantineMillisLeft(long fingerprint) {
        Long learnedAtMillis = quarantinedAtMillis.get(fingerprint);
        return learnedAtMillis == null
                ? 0
                : Math.max(0, learnedAtMillis + CrashTracker.RETENTION_MILLIS - context.now());
    }

    /** Removes and returns the quarantines that were received since the last call. */
    List<StoreItemContent.Quarantine> drainNewQuarantines() {
        List<StoreItemContent.Quarantine> drained = newQuarantines;
        newQuarantines = new ArrayList<>();
        return drained;
    }

    /** The number of routers registered in the store. */
    int memberCount() {
        return memberCount;
    }

    List<StoreItemContent.Member> members() {
        List<StoreItemContent.Member> members = new ArrayList<>();
        for (StoreItem item : items.values()) {
            if (item.content() instanceof StoreItemContent.Member member) {
                members.add(member);
            }
        }
        return members;
    }
}
