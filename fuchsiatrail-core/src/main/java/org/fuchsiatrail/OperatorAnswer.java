package org.fuchsiatrail;

import java.util.List;

/** An answer to an {@link OperatorRequest}. */
public sealed interface OperatorAnswer {

    /**
     * The effects that an intent would have.
     *
     * @param planId the id with which the plan can be confirmed
     * @param baseRevision the revision of the configuration that the intent was compared with
     * @param effects one sentence per effect
     */
    record Planned(String planId, long baseRevision, List<String> effects) implements OperatorAnswer {}

    /**
     * The confirmed plan is in force.
     *
     * @param revision the new revision
     * @param inForce routers that have reported the new revision
     * @param lagging routers that have not reported it
     */
    record Confirmed(long revision, List<EntryVmId> inForce, List<EntryVmId> lagging) implements OperatorAnswer {}

    /**
     * The configuration in force.
     *
     * @param revision the revision, or 0 when no configuration is in force
     * @param intent the content of the configuration
     */
    record Shown(long revision, Intent intent) implements OperatorAnswer {}

    /**
     * The state of the system as known to one router.
     *
     * @param router the router that answers
     * @param revision the revision in force on that router
     * @param stopping whether the router is shutting down gracefully
     * @param openRequests the number of the router's requests without a final answer
     * @param routers the router and its peers
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
     * @param id the id
     * @param failureDomain the failure domain
     * @param state {@code listed}, {@code alive}, {@code suspect}, {@code leaving} or {@code dead}
     * @param revision the revision that the router last reported
     */
    record RouterStatus(EntryVmId id, FailureDomain failureDomain, String state, long revision) {}

    /**
     * One engine in a status report.
     *
     * @param id the id
     * @param failureDomain the failure domain
     * @param state {@code serving}, {@code draining} or {@code unreachable}
     * @param incarnation the incarnation of the engine
     * @param queuedTokens the estimated number of prompt tokens queued on the engine
     * @param runningStreams the estimated number of answers being generated
     * @param models the loaded models and weights
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
     * The placement decision for a hypothetical request.
     *
     * @param candidates one line per candidate engine, best first
     */
    record Explained(List<String> candidates) implements OperatorAnswer {}

    /** The request was accepted. */
    record Done() implements OperatorAnswer {}

    /**
     * The request is refused.
     *
     * @param code the result code
     * @param details one sentence per fault
     */
    record Refused(ResultCode code, List<String> details) implements OperatorAnswer {}
}
