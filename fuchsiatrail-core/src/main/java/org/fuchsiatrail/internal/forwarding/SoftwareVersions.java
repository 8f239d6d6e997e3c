package org.fuchsiatrail.internal.forwarding;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.fuchsiatrail.forwarding.UpstreamEntry;

/** The software versions of the upstreams of each service, including those that ended recently. */
final class SoftwareVersions {

    private final ForwardingContext context;
    private final Map<ServiceVersion, Long> endedAtMillis = new HashMap<>();
    private final Map<ServiceVersion, Integer> upstreamCounts = new HashMap<>();

    private record ServiceVersion(String service, String softwareVersion) {

        static ServiceVersion of(UpstreamEntry entry) {
            return new ServiceVersion(entry.service(), entry.softwareVersion());
        }
    }

    SoftwareVersions(ForwardingContext context) {
        this.context = context;
    }

    void added(UpstreamEntry entry) {
        upstreamCounts.merge(ServiceVersion.of(entry), 1, Integer::sum);
    }

    void removed(UpstreamEntry entry) {
        ServiceVersion version = ServiceVersion.of(entry);
        if (upstreamCounts.merge(version, -1, Integer::sum) == 0) {
            upstreamCounts.remove(version);
            endedAtMillis.put(version, context.now());
        }
    }

    /** Returns the versions that may have begun a stream which a caller may still resume. */
    Set<String> recentVersions(Collection<String> services) {
        endedAtMillis.values().removeIf(millis -> context.now() - millis > StreamOrigins.RETENTION_MILLIS);
        Set<String> versions = new TreeSet<>();
        addVersions(upstreamCounts.keySet(), services, versions);
        addVersions(endedAtMillis.keySet(), services, versions);
        return versions;
    }

    private static void addVersions(Set<ServiceVersion> candidates, Collection<String> services, Set<String> versions) {
        for (ServiceVersion candidate : candidates) {
            if (services.contains(candidate.service())) {
                versions.add(candidate.softwareVersion());
            }
        }
    }

    /** Returns whether streams of a service may have begun at different versions. */
    boolean isMixed(String service) {
        return recentVersions(Set.of(service)).size() > 1;
    }
}
