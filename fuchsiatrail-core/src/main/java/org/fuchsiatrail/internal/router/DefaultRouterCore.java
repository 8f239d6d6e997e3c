package org.fuchsiatrail.internal.router;

import java.util.List;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.Input;
import org.fuchsiatrail.Intent;
import org.fuchsiatrail.OperatorAnswer;
import org.fuchsiatrail.OperatorRequest;
import org.fuchsiatrail.Output;
import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ResultCode;
import org.fuchsiatrail.RouterCore;
import org.fuchsiatrail.RouterSettings;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.internal.access.CustomerAccess;
import org.fuchsiatrail.internal.configuration.ConfigurationSystem;
import org.fuchsiatrail.internal.configuration.ConfirmationSystem;
import org.fuchsiatrail.internal.directory.DirectorySystem;
import org.fuchsiatrail.internal.ledger.LedgerSystem;
import org.fuchsiatrail.internal.membership.MembershipSystem;
import org.fuchsiatrail.internal.orders.OrderSystem;
import org.fuchsiatrail.internal.quarantine.QuarantineSystem;
import org.fuchsiatrail.internal.routing.EngineChooser;
import org.fuchsiatrail.internal.services.ServiceSystem;
import org.fuchsiatrail.internal.store.StoreCalls;
import org.fuchsiatrail.internal.streams.ChatExplainer;
import org.fuchsiatrail.internal.streams.ChatSystem;
import org.fuchsiatrail.internal.upstreams.UpstreamRow;
import org.fuchsiatrail.internal.upstreams.UpstreamSystem;

/** The router core: dispatches inputs to its systems and runs each system once per tick. */
public final class DefaultRouterCore implements RouterCore {

    /** The retry time given to callers of a router that has no configuration yet. */
    private static final long NOT_CONFIGURED_RETRY_MILLIS = 500;

    /** The retry time given to callers whose request could not be handled. */
    private static final long NOT_HANDLED_RETRY_MILLIS = 200;

    private final RouterContext context;
    private final StoreCalls store;
    private final MembershipSystem membership;
    private final ConfigurationSystem configuration;
    private final ConfirmationSystem confirmation;
    private final CustomerAccess access = new CustomerAccess();
    private final UpstreamSystem upstreams;
    private final QuarantineSystem quarantine;
    private final DirectorySystem directory;
    private final ChatSystem chats;
    private final ChatExplainer explainer;
    private final LedgerSystem ledger;
    private final ServiceSystem services;
    private final OrderSystem orders;
    private final StatusReporter status;
    private long heartbeatSequence;
    private boolean stopped;

    /**
     * Creates a router.
     *
     * @param settings the settings of the router
     */
    public DefaultRouterCore(RouterSettings settings) {
        context = new RouterContext(settings);
        store = new StoreCalls(context);
        membership = new MembershipSystem(context, store, this::createHeartbeat);
        configuration = new ConfigurationSystem(context, store, membership);
        confirmation = new ConfirmationSystem(context, store, membership, configuration);
        upstreams = new UpstreamSystem(context, membership, this::engineRestarted);
        quarantine = new QuarantineSystem(context, membership::scheduleHeartbeat);
        directory = new DirectorySystem(context, membership, upstreams);
        EngineChooser chooser = new EngineChooser(context, upstreams);
        chats = new ChatSystem(context, access, directory, chooser, upstreams, quarantine);
        explainer = new ChatExplainer(context, access, directory, chooser);
        ledger = new LedgerSystem(context, store, membership);
        services = new ServiceSystem(context, access, upstreams, ledger);
        orders = new OrderSystem(context, store, upstreams);
        status = new StatusReporter(context, configuration, membership, upstreams);
        configuration.onAdoption(this::configure);
    }

    private void configure(Intent intent) {
        access.configure(intent);
        upstreams.configure(intent);
    }

    @Override
    public List<Output> tick(long nowMillis, List<Input> inputs) {
        context.beginTick(nowMillis);
        for (Input input : inputs) {
            handleSafely(input);
        }
        runSystems();
        finishShutdown();
        return context.endTick();
    }

    @Override
    public boolean ready() {
        return configuration.current().revision() > 0 && !context.stopping();
    }

    private void runSystems() {
        store.run();
        membership.run();
        configuration.run();
        confirmation.run();
        upstreams.run();
        quarantine.run();
        directory.run();
        chats.run();
        services.run();
        ledger.run();
        orders.run();
    }

    private void finishShutdown() {
        boolean idle = chats.openRequests() == 0 && services.openCalls() == 0 && ledger.isIdle();
        if (context.stopping() && idle && !stopped) {
            stopped = true;
            context.emit(new Output.Stopped());
        }
    }

    private void handleSafely(Input input) {
        context.beginWork();
        try {
            handle(input);
        } catch (RuntimeException | Error e) {
            context.count("inputs.failed");
            context.log(
                    "router", "Input dropped.", "kind", input.getClass().getSimpleName(), "reason", String.valueOf(e));
            context.requestInWork().ifPresent(request -> answerFailed(request, input));
        }
    }

    /** Answers the request at which an input failed, since nothing else will. */
    private void answerFailed(RequestId request, Input input) {
        boolean arrived = input instanceof Input.ChatArrived || input instanceof Input.ServiceArrived;
        if (!chats.fail(request) && !services.fail(request) && arrived) {
            refuse(request, ResultCode.NOT_HANDLED, NOT_HANDLED_RETRY_MILLIS);
        }
    }

    private void handle(Input input) {
        switch (input) {
            case Input.ChatArrived chat -> {
                context.beginWorkOn(chat.request());
                if (admit(chat.request())) {
                    chats.submit(chat.request(), chat.apiKey(), chat.call());
                }
            }
            case Input.ServiceArrived service -> {
                context.beginWorkOn(service.request());
                if (admit(service.request())) {
                    services.submit(service.request(), service.apiKey(), service.call());
                }
            }
            case Input.CallerLeft disconnected -> {
                chats.callerDisconnected(disconnected.request());
                services.callerDisconnected(disconnected.request());
            }
            case Input.EngineSpoke received -> chats.receiveEngineEvent(received.attempt(), received.event());
            case Input.ServiceEnded ended -> services.receiveOutcome(ended.attempt(), ended.outcome());
            case Input.LoadArrived load -> {
                upstreams.receiveLoadReport(load.report());
                quarantine.receiveLoadReport(load.report());
            }
            case Input.LoadMissing failed -> upstreams.loadQueryFailed(failed.engine());
            case Input.CacheEventsArrived received -> directory.receiveCacheEvents(received.events());
            case Input.OrderEnded ended -> orders.receiveOrderResult(ended.order(), ended.accepted(), ended.reason());
            case Input.PeerSpoke received -> receive(received.from(), received.message());
            case Input.StoreAnswered answered -> store.complete(answered.call(), answered.result());
            case Input.OperatorAsked query -> answerOperator(query.call(), query.request());
            case Input.StopAsked stop -> beginShutdown();
        }
    }

    private boolean admit(RequestId request) {
        if (ready()) {
            return true;
        }
        boolean stopping = context.stopping();
        ResultCode code = stopping ? ResultCode.STOPPING : ResultCode.NOT_CONFIGURED;
        long retryAfterMillis = stopping ? 1 : NOT_CONFIGURED_RETRY_MILLIS;
        refuse(request, code, retryAfterMillis);
        return false;
    }

    private void refuse(RequestId request, ResultCode code, long retryAfterMillis) {
        context.count("refusals." + code.number());
        context.emit(new Output.AnswerCaller(request, new CallerAnswer.Refusal(code, "", retryAfterMillis)));
    }

    private void receive(EntryVmId from, PeerMessage message) {
        switch (message) {
            case PeerMessage.Heartbeat heartbeat -> receiveHeartbeat(from, heartbeat);
            case PeerMessage.AskDirectory query -> directory.receive(from, query);
            case PeerMessage.TellDirectory response -> directory.receive(from, response);
            case PeerMessage.ReportCache report -> directory.receive(report);
            case PeerMessage.TellConfiguration update -> configuration.receive(update);
            case PeerMessage.AskConfiguration query -> configuration.receive(from, query);
            case PeerMessage.AskClaim claim -> ledger.receive(from, claim);
            case PeerMessage.TellClaim response -> receiveVerdict(response);
            case PeerMessage.TellEnd outcome -> ledger.receive(from, outcome);
            case PeerMessage.EndRecorded recorded -> ledger.receive(recorded);
            case PeerMessage.ForwardingNews update -> context.count("peers.unexpected-messages");
        }
    }

    private void receiveVerdict(PeerMessage.TellClaim response) {
        boolean pending = ledger.receive(response);
        if (!pending) {
            services.handleLateVerdict(response.claimId());
        }
    }

    private void receiveHeartbeat(EntryVmId from, PeerMessage.Heartbeat heartbeat) {
        boolean joined = membership.receive(heartbeat);
        heartbeat.loads().forEach(report -> {
            upstreams.receiveLoadReport(report);
            quarantine.receiveLoadReport(report);
        });
        upstreams.receivePeerWork(from, heartbeat.assignedTokens());
        if (heartbeat.revision() >= configuration.current().revision()) {
            heartbeat.draining().forEach(name -> upstreams.drain(new UpstreamId(name)));
        }
        heartbeat.leaving().forEach(name -> upstreams.markLeaving(new UpstreamId(name)));
        quarantine.receiveSuspicions(heartbeat.suspicions());
        chats.receiveReservations(heartbeat.reservations());
        configuration.receiveRevision(from, heartbeat.revision());
        if (joined) {
            membership.scheduleHeartbeat();
        }
    }

    private void answerOperator(long call, OperatorRequest request) {
        switch (request) {
            case OperatorRequest.Plan plan -> confirmation.plan(call, plan);
            case OperatorRequest.Confirm confirm -> confirmation.confirm(call, confirm);
            case OperatorRequest.Show show ->
                context.emit(new Output.AnswerOperator(
                        call,
                        new OperatorAnswer.Shown(
                                configuration.current().revision(),
                                configuration.current().intent())));
            case OperatorRequest.Status query ->
                context.emit(
                        new Output.AnswerOperator(call, status.report(chats.openRequests() + services.openCalls())));
            case OperatorRequest.Drain drain -> {
                upstreams.drain(drain.upstream());
                membership.scheduleHeartbeat();
                context.emit(new Output.AnswerOperator(call, new OperatorAnswer.Done()));
            }
            case OperatorRequest.Explain explain ->
                context.emit(new Output.AnswerOperator(
                        call, new OperatorAnswer.Explained(explainer.explain(explain.customer(), explain.call()))));
        }
    }

    private void beginShutdown() {
        if (context.stopping()) {
            return;
        }
        context.beginShutdown();
        membership.updateOwners();
        membership.scheduleHeartbeat();
        context.log(
                "router", "Graceful shutdown started.", "openRequests", chats.openRequests() + services.openCalls());
    }

    private void engineRestarted(UpstreamRow engine) {
        context.count("engines.restarts");
    }

    private PeerMessage.Heartbeat createHeartbeat() {
        heartbeatSequence++;
        return new PeerMessage.Heartbeat(
                context.settings().self(),
                context.settings().incarnation(),
                heartbeatSequence,
                configuration.current().revision(),
                context.stopping(),
                upstreams.ownLoadReports(),
                upstreams.ownAssignedTokens(),
                upstreams.drainingUpstreams(),
                upstreams.leavingUpstreams(),
                quarantine.suspicions(),
                chats.drainNewReservations());
    }
}
