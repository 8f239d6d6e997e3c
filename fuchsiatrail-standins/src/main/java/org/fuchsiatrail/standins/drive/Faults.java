package org.fuchsiatrail.standins.drive;

import java.util.HashSet;
import java.util.Set;

import org.fuchsiatrail.FailureDomain;

/** The faults of a virtual deployment; each field may be changed at any time. */
public final class Faults {

    /** The failure domains that cannot reach the store. */
    public final Set<FailureDomain> cutFromStore = new HashSet<>();

    /** The failure domains that cannot reach any other. */
    public final Set<FailureDomain> cutFromOthers = new HashSet<>();

    /** Whether the store answers nobody and does nothing. */
    public boolean storeDown;

    /** The extra delay of the store, in milliseconds. */
    public long storeDelayMillis;

    /** The part of store answers that are lost after the call took effect. */
    public double storeAnswersLost;

    /** The part of peer messages that are lost. */
    public double peerMessagesLost;

    /** The part of peer messages that arrive twice. */
    public double peerMessagesRepeated;

    /** The most extra delay of a peer message, in milliseconds. */
    public int peerJitterMillis;

    /** The part of readings of cache events that come back empty while their events are gone. */
    public double cacheEventsLost;

    /** The part of engine events that arrive twice. */
    public double engineEventsRepeated;

    /** The part of engine events that are lost while the connection goes on. */
    public double engineEventsLost;

    /** The part of engine events that are delivered to another attempt. */
    public double engineEventsCrossed;

    /** The part of service calls whose connection breaks after the call ran. */
    public double serviceAnswersLost;

    /** The part of service calls whose connection breaks before the call was sent. */
    public double serviceConnectionsRefused;

    /** Ends every fault. */
    public void heal() {
        cutFromStore.clear();
        cutFromOthers.clear();
        storeDown = false;
        storeDelayMillis = 0;
        storeAnswersLost = 0;
        peerMessagesLost = 0;
        peerMessagesRepeated = 0;
        peerJitterMillis = 0;
        cacheEventsLost = 0;
        engineEventsRepeated = 0;
        engineEventsLost = 0;
        engineEventsCrossed = 0;
        serviceAnswersLost = 0;
        serviceConnectionsRefused = 0;
    }
}
