package org.fuchsiatrail.standins.drive;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiatrail.CallerAnswer;
import org.fuchsiatrail.CustomerId;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.RequestId;

/** One request of a caller and the answers that the caller received. */
public final class CallerRecord {

    private final RequestId request;
    private final CustomerId customer;
    private final EntryVmId router;
    private final long sentAtMillis;
    private final List<CallerAnswer> answers = new ArrayList<>();
    private long firstAnswerMillis = -1;
    private long lastAnswerMillis = -1;
    private boolean connectionLost;

    CallerRecord(RequestId request, CustomerId customer, EntryVmId router, long sentAtMillis) {
        this.request = request;
        this.customer = customer;
        this.router = router;
        this.sentAtMillis = sentAtMillis;
    }

    void recordAnswer(long now, CallerAnswer answer) {
        if (connectionLost) {
            return;
        }
        if (answers.isEmpty()) {
            firstAnswerMillis = now;
        }
        lastAnswerMillis = now;
        answers.add(answer);
    }

    void markConnectionLost() {
        if (!isFinished()) {
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
     * Returns the router that received the request.
     *
     * @return its entry VM
     */
    public EntryVmId router() {
        return router;
    }

    /**
     * Returns the answers received, in order of arrival.
     *
     * @return the answers
     */
    public List<CallerAnswer> answers() {
        return answers;
    }

    /**
     * Returns the last answer received.
     *
     * @return the answer, or null when there is none
     */
    public CallerAnswer lastAnswer() {
        return answers.isEmpty() ? null : answers.get(answers.size() - 1);
    }

    /**
     * Returns whether the final answer was received.
     *
     * @return true after an end, a result or a refusal
     */
    public boolean isFinished() {
        return !answers.isEmpty() && !(lastAnswer() instanceof CallerAnswer.Token);
    }

    /**
     * Returns whether the connection was lost before the final answer, because the router was killed or the caller
     * disconnected.
     *
     * @return true when no further answer can arrive
     */
    public boolean connectionLost() {
        return connectionLost;
    }

    /**
     * Returns the refusal that ended the request.
     *
     * @return the refusal, or null when the last answer is not a refusal
     */
    public CallerAnswer.Refusal refusal() {
        return lastAnswer() instanceof CallerAnswer.Refusal refusal ? refusal : null;
    }

    /**
     * Returns the text of the tokens received.
     *
     * @return the concatenated tokens
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
     * Returns when the request was sent, in virtual time.
     *
     * @return the time in milliseconds
     */
    public long sentAtMillis() {
        return sentAtMillis;
    }

    /**
     * Returns the time from sending the request to the first answer.
     *
     * @return milliseconds, or -1 when there was no answer
     */
    public long firstAnswerAfterMillis() {
        return firstAnswerMillis < 0 ? -1 : firstAnswerMillis - sentAtMillis;
    }

    /**
     * Returns the time from sending the request to the last answer.
     *
     * @return milliseconds, or -1 when there was no answer
     */
    public long lastAnswerAfterMillis() {
        return lastAnswerMillis < 0 ? -1 : lastAnswerMillis - sentAtMillis;
    }
}
