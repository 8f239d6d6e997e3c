package org.fuchsiatrail;

import java.util.List;

/** What an operator gets. */
public sealed interface OperatorAnswer {

    /**
     * The effects of an intent.
     *
     * @param planId what to confirm
     * @param baseRevision the revision it was compared with
     * @param effects one sentence an effect
     */
    record Planned(String planId, long baseRevision, List<String> effects) implements OperatorAnswer {}

    /**
     * A plan is in force.
     *
     * @param revision the new revision
     * @param inForce routers that have reported it
     * @param lagging routers that have not
     */
    record Confirmed(long revision, List<EntryVmId> inForce, List<EntryVmId> lagging) implements OperatorAnswer {}

    /**
     * The configuration in force.
     *
     * @param revision its revision, 0 when there is none
     * @param intent its content
     */
    record Shown(long revision, Intent intent) implements OperatorAnswer {}

    /**
     * The state of the system as one router sees it.
     *
     * @param router the router that answers
     * @param revision the revision it has in force
     * @param stopping whether it is stopping
     * @param openRequests its requests without a final answer
     * @param routers itself and its peers
     * @param engines the engines
     */
    record StatusReport(
            EntryVmId router,
            long revision,
            boolean stopping,
            int openRequests,
            List<RouterStatus> routers,
            List<EngineStatus> engines)
            implements OperatorAnswer {}

    /**
     * One router in a status report.
     *
     * @param id its name
     * @param failureDomain where it is
     * @param state alive, suspect, leaving or dead
     * @param revision the revision it last reported
     */
    record RouterStatus(EntryVmId id, FailureDomain failureDomain, String state, long revision) {}

    /**
     * One engine in a status report.
     *
     * @param id its name
     * @param failureDomain where it is
     * @param state serving, draining or unreachable
     * @param incarnation its life
     * @param queuedTokens prompt tokens that wait there, as estimated
     * @param runningStreams answers being generated, as last reported
     * @param models what it has loaded
     */
    record EngineStatus(
            UpstreamId id,
            FailureDomain failureDomain,
            String state,
            long incarnation,
            long queuedTokens,
            int runningStreams,
            List<ModelVersion> models) {}

    /**
     * Why a request would go where.
     *
     * @param candidates one line a candidate, best first
     */
    record Explained(List<String> candidates) implements OperatorAnswer {}

    /** The order is given. */
    record Done() implements OperatorAnswer {}

    /**
     * The request is refused.
     *
     * @param code why
     * @param details one sentence a fault
     */
    record Refused(ResultCode code, List<String> details) implements OperatorAnswer {}
}
