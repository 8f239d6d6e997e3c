package org.fuchsiatrail.internal.membership;

import org.fuchsiatrail.EntryVm;

/** A row of the member table: one peer as this router sees it. */
public final class Member {

    /** How a peer looks from here. */
    public enum State {
        /** Listed by the platform, not heard from yet. */
        LISTED,
        /** Heard from lately. */
        ALIVE,
        /** Silent for a while; still used for ownership. */
        SUSPECT,
        /** Alive and stopping; owns nothing. */
        LEAVING,
        /** Silent for long. */
        DEAD
    }

    EntryVm vm;
    State state = State.LISTED;
    long incarnation;
    long sequence;
    long revision;
    long heardAtMillis;
    long nextProbeMillis;

    Member(EntryVm vm) {
        this.vm = vm;
    }

    /**
     * Returns the peer's entry VM.
     *
     * @return name, failure domain and address
     */
    public EntryVm vm() {
        return vm;
    }

    /**
     * Returns how the peer looks.
     *
     * @return its state
     */
    public State state() {
        return state;
    }

    /**
     * Returns the configuration revision the peer last reported.
     *
     * @return a revision, 0 when it has none
     */
    public long revision() {
        return revision;
    }

    /**
     * Tells whether the peer can own shares of the directory and the ledger.
     *
     * @return true when it is alive, or silent for a short while only
     */
    public boolean owning() {
        return state == State.ALIVE || state == State.SUSPECT;
    }
}
