package org.fuchsiatrail.standins.drive;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.RequestId;

/** What one caller saw of one request. */
public final class CallerRecord {

    private final RequestId request;
    private final CustomerId customer;
    private final EntryVmId router;
    private final long sentMillis;
    private final List<CallerAnswer> answers = new ArrayList<>();
    private long firstAnswerMillis = -1;
    private long lastAnswerMillis = -1;
    private boolean connectionLost;

    CallerRecord(RequestId request, CustomerId customer, EntryVmId router, long sentMillis) {
        this.request = request;
        this.customer = customer;
        this.router = router;
        this.sentMillis = sentMillis;
    }

    void take(long now, CallerAnswer answer) {
        if (connectionLost) {
            return;
        }
        if (answers.isEmpty()) {
            firstAnswerMillis = now;
        }
        lastAnswerMillis = now;
        answers.add(answer);
    }

    void loseConnection() {
        if (!isOver()) {
            connectionLost = true;
        }
    }

    /**
     * Returns the request.
     *
     * @return its id
     */
    public RequestId request() {
        return request;
    }

    /**
     * Returns the customer.
     *
     * @return its id
     */
    public CustomerId customer() {
        return customer;
    }

    /**
     * Returns the router that was asked.
     *
     * @return its entry VM
     */
    public EntryVmId router() {
        return router;
    }

    /**
     * Returns what came back, in order.
     *
     * @return the answers
     */
    public List<CallerAnswer> answers() {
        return answers;
    }

    /**
     * Returns the last answer.
     *
     * @return the answer, or null
     */
    public CallerAnswer last() {
        return answers.isEmpty() ? null : answers.get(answers.size() - 1);
    }

    /**
     * Tells whether the final answer came.
     *
     * @return true after an end, a result or a refusal
     */
    public boolean isOver() {
        return !answers.isEmpty() && !(last() instanceof CallerAnswer.Token);
    }

    /**
     * Tells whether the router died under the request.
     *
     * @return true when the connection broke before the final answer
     */
    public boolean connectionLost() {
        return connectionLost;
    }

    /**
     * Returns the refusal that ended the request.
     *
     * @return the refusal, or null
     */
    public CallerAnswer.Refusal refusal() {
        return last() instanceof CallerAnswer.Refusal refusal ? refusal : null;
    }

    /**
     * Returns the text of the tokens received.
     *
     * @return the tokens joined
     */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (CallerAnswer answer : answers) {
            if (answer instanceof CallerAnswer.Token token) {
                text.append(token.text());
            }
        }
        return text.toString();
    }

    /**
     * Returns when the request was sent.
     *
     * @return milliseconds
     */
    public long sentMillis() {
        return sentMillis;
    }

    /**
     * Returns the time to the first answer.
     *
     * @return milliseconds, -1 when there was none
     */
    public long firstAnswerAfterMillis() {
        return firstAnswerMillis < 0 ? -1 : firstAnswerMillis - sentMillis;
    }

    /**
     * Returns the time to the last answer.
     *
     * @return milliseconds, -1 when there was none
     */
    public long lastAnswerAfterMillis() {
        return lastAnswerMillis < 0 ? -1 : lastAnswerMillis - sentMillis;
    }
}
