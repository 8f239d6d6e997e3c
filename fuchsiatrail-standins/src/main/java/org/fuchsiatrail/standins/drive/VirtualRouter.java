package org.fuchsiatrail.standins.drive;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.Fuchsiatrail;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.RouterCore;
import org.fuchsiatrail.RouterSettings;

/** One router of a virtual deployment, which can be killed, paused and started again. */
public final class VirtualRouter {

    private final EntryVm vm;
    private RouterSettings.Builder settings;
    private RouterCore core;
    private List<Input> inbox = new ArrayList<>();
    private long life;
    private long lastTickMillis;
    private long pausedUntilMillis;
    private boolean stopped;

    VirtualRouter(EntryVm vm, RouterSettings.Builder settings) {
        this.vm = vm;
        this.settings = settings;
    }

    void start(long incarnation) {
        life = incarnation;
        stopped = false;
        pausedUntilMillis = 0;
        inbox = new ArrayList<>();
        core = Fuchsiatrail.router(settings.self(vm).incarnation(incarnation).build());
    }

    void kill() {
        core = null;
        inbox.clear();
    }

    void pause(long untilMillis) {
        pausedUntilMillis = untilMillis;
    }

    void give(long forLife, Input input) {
        if (core != null && forLife == life) {
            inbox.add(input);
        }
    }

    List<Output> tick(long now) {
        boolean due = !inbox.isEmpty() || now - lastTickMillis >= RouterCore.LONGEST_TICK_GAP_MILLIS;
        if (core == null || now < pausedUntilMillis || !due) {
            return List.of();
        }
        lastTickMillis = now;
        List<Input> inputs = inbox;
        inbox = new ArrayList<>();
        return core.tick(now, inputs);
    }

    void markStopped() {
        stopped = true;
        core = null;
    }

    /**
     * Returns the router's entry VM.
     *
     * @return name, failure domain and address
     */
    public EntryVm vm() {
        return vm;
    }

    /**
     * Returns the number of its life.
     *
     * @return the incarnation
     */
    public long life() {
        return life;
    }

    /**
     * Tells whether its process runs.
     *
     * @return false when killed or stopped
     */
    public boolean isUp() {
        return core != null;
    }

    /**
     * Tells whether it ended by itself after a planned stop.
     *
     * @return true when it stopped
     */
    public boolean isStopped() {
        return stopped;
    }

    /**
     * Tells whether it takes work.
     *
     * @return true when up and ready
     */
    public boolean isReady() {
        return core != null && core.ready();
    }
}
