package org.fuchsiatrail.standins.drive;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.Fuchsiatrail;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.RouterCore;
import org.fuchsiatrail.RouterSettings;

/** One router of a virtual deployment, which can be killed, paused and restarted. */
public final class VirtualRouter {

    private final EntryVm vm;
    private RouterSettings.Builder settings;
    private RouterCore core;
    private List<Input> inbox = new ArrayList<>();
    private long incarnation;
    private long lastTickMillis;
    private long pausedUntilMillis;
    private boolean stopped;

    VirtualRouter(EntryVm vm, RouterSettings.Builder settings) {
        this.vm = vm;
        this.settings = settings;
    }

    void start(long newIncarnation) {
        incarnation = newIncarnation;
        stopped = false;
        pausedUntilMillis = 0;
        inbox = new ArrayList<>();
        core = Fuchsiatrail.router(settings.self(vm).incarnation(newIncarnation).build());
    }

    void kill() {
        core = null;
        inbox.clear();
    }

    void pause(long untilMillis) {
        pausedUntilMillis = untilMillis;
    }

    void deliver(long expectedIncarnation, Input input) {
        if (core != null && expectedIncarnation == incarnation) {
            inbox.add(input);
        }
    }

    List<Output> tickIfDue(long now) {
        boolean due = !inbox.isEmpty() || now - lastTickMillis >= RouterCore.MAXIMUM_TICK_INTERVAL_MILLIS;
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
     * Returns the incarnation of the router's last start.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns whether the router process is running.
     *
     * @return false when it was killed or has stopped
     */
    public boolean isUp() {
        return core != null;
    }

    /**
     * Returns whether the router has completed a graceful shutdown.
     *
     * @return true when it has stopped
     */
    public boolean isStopped() {
        return stopped;
    }

    /**
     * Returns whether the router accepts requests.
     *
     * @return true when it is running and ready
     */
    public boolean isReady() {
        return core != null && core.ready();
    }
}
