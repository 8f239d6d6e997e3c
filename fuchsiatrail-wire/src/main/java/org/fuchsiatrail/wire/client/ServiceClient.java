package org.fuchsiatrail.wire.client;

import java.time.Duration;
import java.util.function.Consumer;

import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.request.NettyRequest;
import org.fuchsiatrail.Clock;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.RequestId;
import org.fuchsiatrail.ServiceCall;
import org.fuchsiatrail.ServiceOutcome;

/**
 * Sends calls to services, each at most once.
 *
 * <p>The deadline is checked again immediately before the call is written to the network. Otherwise a pause of the
 * process between decision and sending could send a call after its caller was informed that it was not executed.
 */
public final class ServiceClient {

    /** The header with the request id, which a service echoes so that its response can be matched to the request. */
    public static final String REQUEST_HEADER = "X-Request-Id";

    /** The header with the customer's id. */
    public static final String CUSTOMER_HEADER = "X-Customer";

    private final AsyncHttpClient http;
    private final Clock clock;

    /**
     * Creates a client.
     *
     * @param http the shared HTTP client
     * @param clock the clock that deadlines refer to
     */
    public ServiceClient(AsyncHttpClient http, Clock clock) {
        this.http = http;
        this.clock = clock;
    }

    /**
     * Sends a call.
     *
     * @param address the service's IP address and port
     * @param request the request's id, which the service echoes
     * @param customer the customer
     * @param call the call
     * @param deadlineAtMillis when to stop waiting, in milliseconds of the clock
     * @param listener receives the outcome, exactly once
     */
    public void call(
            String address,
            RequestId request,
            CustomerId customer,
            ServiceCall call,
            long deadlineAtMillis,
            Consumer<ServiceOutcome> listener) {
        long remainingMillis = deadlineAtMillis - clock.nowMillis();
        if (remainingMillis <= 0) {
            listener.accept(new ServiceOutcome.NotSent("the deadline passed before the call was sent"));
            return;
        }
        BoundRequestBuilder builder = http.prepare(call.method(), "http://" + address + call.path())
                .setHeader(REQUEST_HEADER, request.value())
                .setHeader(CUSTOMER_HEADER, customer.value())
                .setRequestTimeout(Duration.ofMillis(remainingMillis));
        if (!call.idempotencyKey().isEmpty()) {
            builder.setHeader("Idempotency-Key", call.idempotencyKey());
        }
        if (!call.traceparent().isEmpty()) {
            builder.setHeader("traceparent", call.traceparent());
        }
        if (call.body().length > 0) {
            builder.setHeader("Content-Type", call.contentType()).setBody(call.body());
        }
        builder.execute(new OutcomeHandler(listener, deadlineAtMillis));
    }

    private final class OutcomeHandler extends AsyncCompletionHandlerBase {
        private final Consumer<ServiceOutcome> listener;
        private final long deadlineAtMillis;
        private volatile boolean sent;

        OutcomeHandler(Consumer<ServiceOutcome> listener, long deadlineAtMillis) {
            this.listener = listener;
            this.deadlineAtMillis = deadlineAtMillis;
        }

        @Override
        public void onRequestSend(NettyRequest request) {
            if (clock.nowMillis() >= deadlineAtMillis) {
                throw new IllegalStateException("the deadline passed before the call was sent");
            }
            sent = true;
        }

        @Override
        public Response onCompleted(Response response) {
            String echoedRequestId = response.getHeader(REQUEST_HEADER);
            RequestId request =
                    new RequestId(echoedRequestId == null || echoedRequestId.isBlank() ? "missing" : echoedRequestId);
            String contentType = response.getContentType() == null ? "" : response.getContentType();
            listener.accept(new ServiceOutcome.Answered(
                    request, response.getStatusCode(), contentType, response.getResponseBodyAsBytes()));
            return response;
        }

        @Override
        public void onThrowable(Throwable cause) {
            String reason = String.valueOf(cause.getMessage());
            listener.accept(sent ? new ServiceOutcome.Unknown(reason) : new ServiceOutcome.NotSent(reason));
        }
    }
}
