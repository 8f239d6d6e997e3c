package org.fuchsiatrail.internal.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.fuchsiatrail.ModelVersion;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.internal.configuration.ConfigurationSystem;
import org.fuchsiatrail.internal.membership.Member;
import org.fuchsiatrail.internal.membership.MembershipSystem;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;
import org.fuchsiatrail.internal.upstreams.UpstreamSystem;

/** Creates the status report for operators. */
final class StatusReporter {

    private final RouterContext context;
    private final ConfigurationSystem configuration;
    private final MembershipSystem membership;
    private final UpstreamSystem upstreams;

    StatusReporter(
            RouterContext context,
            ConfigurationSystem configuration,
            MembershipSystem membership,
            UpstreamSystem upstreams) {
        this.context = context;
        this.configuration = configuration;
        this.membership = membership;
        this.upstreams = upstreams;
    }

    OperatorAnswer.StatusReport report(int openRequests) {
        List<OperatorAnswer.RouterStatus> routers = new ArrayList<>();
        routers.add(new OperatorAnswer.RouterStatus(
                context.selfId(),
                context.settings().self().failureDomain(),
                context.stopping() ? "leaving" : "alive",
                configuration.current().revision()));
        for (Member member : membership.members()) {
            routers.add(new OperatorAnswer.RouterStatus(
                    member.vm().id(),
                    member.vm().failureDomain(),
                    member.state().name().toLowerCase(Locale.ROOT),
                    member.revision()));
        }
        List<OperatorAnswer.EngineStatus> engines = new ArrayList<>();
        for (UpstreamRow engine : upstreams.engines()) {
            engines.add(engineStatus(engine));
        }
        return new OperatorAnswer.StatusReport(
                context.selfId(),
                configuration.current().revision(),
                context.stopping(),
                openRequests,
                routers,
                engines);
    }

    private OperatorAnswer.EngineStatus engineStatus(UpstreamRow engine) {
        String state = "serving";
        if (engine.draining()) {
            state = "draining";
        } else if (!engine.reachable(context.now())) {
            state = "unreachable";
        }
        List<ModelVersion> models =
                engine.load() == null ? List.of() : engine.load().models();
        return new OperatorAnswer.EngineStatus(
                engine.id(),
                engine.domain(),
                state,
                engine.incarnation(),
                engine.queuedTokens(context.now()),
                engine.runningStreams(),
                models);
    }
}
