package org.fuchsiatrail;

import java.util.List;

import org.fuchsiatrail.forwarding.ForwardingCore;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.forwarding.RoutingTable;
import org.fuchsiatrail.internal.configuration.IntentCheck;
import org.fuchsiatrail.internal.configuration.IntentComparison;
import org.fuchsiatrail.internal.configuration.RoutingCheck;
import org.fuchsiatrail.internal.forwarding.DefaultForwardingCore;
import org.fuchsiatrail.internal.router.DefaultRouterCore;

/**
 * The entry point of the library.
 *
 * <h2>1. Create a router</h2>
 *
 * <pre>{@code
 * RouterSettings settings = RouterSettings.builder()
 *         .self(new EntryVm(new EntryVmId("vm-1"), new FailureDomain("lima-1"), "10.0.0.1:7001", false))
 *         .incarnation(startedAtMillis)
 *         .secret("shared by all routers")
 *         .build();
 * RouterCore router = Fuchsiatrail.router(settings);
 * }</pre>
 *
 * <h2>2. Tick it</h2>
 *
 * <p>Each external event is an {@link Input}; each action to perform is an {@link Output}. The same settings and
 * the same inputs at the same times give the same outputs.
 *
 * <pre>{@code
 * for (Output output : router.tick(clock.nowMillis(), inputs)) {
 *     switch (output) {
 *         case Output.StartEngine start -> engines.start(start);
 *         case Output.CallStore call -> store.call(call);
 *         case Output.AnswerCaller answer -> callers.answer(answer);
 *         ...
 *     }
 * }
 * }</pre>
 *
 * <p>Tick when inputs arrive and at least every {@link RouterCore#MAXIMUM_TICK_INTERVAL_MILLIS} milliseconds.
 *
 * <h2>3. Return the results of its actions</h2>
 *
 * <p>Answer each {@link Output.CallStore} with one {@link Input.StoreAnswered} that has the same number; when there is
 * none, the router continues after the timeout. Follow each {@link Output.StartEngine} with
 * {@link Input.EngineSpoke} events, the last of which ends the attempt.
 *
 * <h2>4. Stop it</h2>
 *
 * <p>Pass it {@link Input.StopAsked} and keep ticking until it returns {@link Output.Stopped}: requests in progress
 * finish, new ones are refused.
 */
public final class Fuchsiatrail {

    private Fuchsiatrail() {}

    /**
     * Creates a router.
     *
     * @param settings its settings
     * @return a router in its initial state
     */
    public static RouterCore router(RouterSettings settings) {
        return new DefaultRouterCore(settings);
    }

    /**
     * Creates a router that forwards opaque calls to upstreams that register themselves in the platform's store.
     *
     * @param settings its settings
     * @return a router in its initial state
     */
    public static ForwardingCore forwarding(ForwardingSettings settings) {
        return new DefaultForwardingCore(settings);
    }

    /**
     * Checks an intent before it is sent to a router.
     *
     * @param intent the intent
     * @return what is wrong or has no effect, errors first
     */
    public static List<ConfigurationFinding> check(Intent intent) {
        return IntentCheck.findings(intent);
    }

    /**
     * Checks a routing configuration before it is put in force.
     *
     * @param table the configuration
     * @return what is wrong or has no effect
     */
    public static List<ConfigurationFinding> check(RoutingTable table) {
        return RoutingCheck.findings(table);
    }

    /**
     * Compares two routing configurations.
     *
     * @param before the one in force
     * @param after the new one
     * @return one sentence for each route, service, customer and limit that differs
     */
    public static List<String> effects(RoutingTable before, RoutingTable after) {
        return RoutingCheck.differences(before, after);
    }

    /**
     * Compares two intents.
     *
     * @param before the intent in force
     * @param after the new intent
     * @return one sentence for each effect
     */
    public static List<String> effects(Intent before, Intent after) {
        return IntentComparison.effects(before, after);
    }
}
