package org.fuchsiatrail.wire.peer;

import org.fuchsiatrail.PeerMessage;

/** Corrects the times in an update that has waited: ages grow, and what is left of a time shrinks. */
final class PeerUpdateAge {

    private PeerUpdateAge() {}

    /**
     * Returns a pure update as it is to be sent after a wait.
     *
     * @param update the update
     * @param millis how long it has waited, in milliseconds
     * @return the corrected update, or the same one if nothing in it depends on the time
     */
    static PeerMessage.ForwardingNews afterWait(PeerMessage.ForwardingNews update, long millis) {
        boolean timeless = update.targetAges().isEmpty()
                && update.switching().isEmpty()
                && update.limits().isEmpty()
                && update.pauses().isEmpty()
                && update.darkUpstreams().isEmpty();
        if (millis <= 0 || timeless) {
            return update;
        }
        return PeerUpdateMerge.copy(update)
                .targetAges(update.targetAges().stream()
                        .map(age -> new PeerMessage.TargetAge(
                                age.model(), age.version(), age.ageMillis() + millis, age.exact()))
                        .toList())
                .limits(update.limits().stream()
                        .map(limit -> new PeerMessage.NamedLimit(
                                limit.upstream(), limit.named(), limit.requestsPerSecond(), limit.ageMillis() + millis))
                        .toList())
                .switching(update.switching().stream()
                        .filter(report -> report.millisLeft() > millis)
                        .map(report -> new PeerMessage.Switching(report.engine(), report.millisLeft() - millis))
                        .toList())
                .pauses(update.pauses().stream()
                        .filter(pause -> pause.millisLeft() > millis)
                        .map(pause -> new PeerMessage.SeenPause(pause.upstream(), pause.millisLeft() - millis))
                        .toList())
                .darkUpstreams(update.darkUpstreams().stream()
                        .map(dark -> new PeerMessage.DarkUpstream(dark.upstream(), dark.ageMillis() + millis))
                        .toList())
                .build();
    }
}
