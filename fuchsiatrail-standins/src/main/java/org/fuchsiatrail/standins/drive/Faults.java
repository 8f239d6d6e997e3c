package org.fuchsiatrail.standins.drive;

import java.util.HashSet;
import java.util.Set;

import org.fuchsiatrail.FailureDomain;

/** The faults injected into a virtual deployment; each field may be changed at any time. Rates are from 0 to 1. */
public final class Faults {

    /** The failure domains that cannot reach the store. */
    public final Set<FailureDomain> domainsWithoutStore = new HashSet<>();

    /** The failure domains that cannot reach any other failure domain. */
    public final Set<FailureDomain> isolatedDomains = new HashSet<>();

    /** Whether the store neither executes nor answers calls. */
    public boolean storeDown;

    /** The additional delay of each store call, in milliseconds. */
    public long storeDelayMillis;

    /** The fraction of store responses that are lost after the call was executed. */
    public double storeResponseLossRate;

    /** The fraction of peer messages that are lost. */
    public double peerMessageLossRate;

    /** The fraction of peer messages that arrive twice. */
    public double peerMessageDuplicationRate;

    /** The exclusive upper bound of the random additional delay of a peer message, in milliseconds. */
    public int maximumPeerJitterMillis;

    /**
     * The fraction of cache event reads that return no events but a cursor beyond them, so that the events are lost.
     */
    public double cacheEventLossRate;

    /** The fraction of engine events that arrive twice. */
    public double engineEventDuplicationRate;

    /** The fraction of engine events that are lost while the connection stays open. */
    public double engineEventLossRate;

    /** The fraction of engine events that are also delivered to a random open attempt. */
    public double engineEventMisdeliveryRate;

    /** The fraction of service calls whose connection breaks after the call ran. */
    public double serviceResponseLossRate;

    /** The fraction of service calls whose connection is refused before the call is sent. */
    public double serviceConnectionRefusalRate;

    /** Ends all faults. */
    public void clear() {
        domainsWithoutStore.clear();
        isolatedDomains.clear();
        storeDown = false;
        storeDelayMillis = 0;
        storeResponseLossRate = 0;
        peerMessageLossRate = 0;
        peerMessageDuplicationRate = 0;
        maximumPeerJitterMillis = 0;
        cacheEventLossRate = 0;
        engineEventDuplicationRate = 0;
        engineEventLossRate = 0;
        engineEventMisdeliveryRate = 0;
        serviceResponseLossRate = 0;
        serviceConnectionRefusalRate = 0;
    }
}
