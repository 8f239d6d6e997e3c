package org.fuchsiatrail.internal.membership;

import org.fuchsiatrail.EntryVm;

/** A peer in the member table, with the state that this router has observed. */
public final class Member {

    /** The observed state of a peer. */
    public enum State {
        /** Configured as a seed or listed by the platform; no heartbeat received yet. */
        LISTED,
        /** A heartbeat was received recently. */
        ALIVE,
        /** No heartbeat within the suspicion timeout; the peer can still own keys. */
        SUSPECT,
        /** Alive and shutting down; the peer owns no keys. */
        LEAVING,
        /** No heartbeat within the failure timeout. */
        DEAD
    }

    EntryVm vm;
    State state = State.LISTED;
    long incarnation;
    long sequence;
    long revision;
    long lastHeartbeatMillis;
    long nextProbeMillis;

    Member(EntryVm vm) {
        this.vm = vm;
    }

    /**
     * Returns the entry VM of the peer.
     *
     * @return its name, failure domain and address
     */
    public EntryVm vm() {
        return vm;
    }

    /**
     * Returns the observed state of the peer.
     *
     * @return the state
     */
    public State state() {
        return state;
    }

    /**
     * Returns the configuration revision the peer last reported.
     *
     * @return the revision, 0 when it has none
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns whether the peer can own keys of the directory and the ledger.
     *
     * @return true when the peer is alive or suspect
     */
    public boolean canOwnKeys() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
