package org.fuchsiatrail.internal.forwarding;

import org.fuchsiatrail.PeerMessage;
import org.fuchsiatrail.UpstreamId;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a verdict on a crashing prompt part that waits although its crashes have settled. */
class PromptPartTrackerTest {

    private static final long PART = 3;
    private static final long SETTLED_MILLIS = 1_000;

    private final ForwardingContext context = new ForwardingContext(
            ForwardingSettings.builder().self(new ForwardingFixture().self()).build());

    @ParameterizedTest
    @CsvSource({"true,1400", "false,2000"})
    void should_quarantine_a_part_once_its_third_crash_has_settled_where_relays_pass_news_on(
            boolean relays, long quarantinedAtMillis) {
        PromptPartTracker tracker = new PromptPartTracker(context, () -> relays);
        long quarantinedMillis = -1;
        for (long millis = 0; millis <= 2 * SETTLED_MILLIS; millis += 100) {
            context.beginTick(10_000 + millis);
            if (millis % 200 == 0 && millis <= 400) {
                tracker.recordCrash(
                        new PeerMessage.SeenCrash(millis, new UpstreamId("u" + millis + "@1"), new long[] {PART}));
            }
            tracker.run();
            quarantinedMillis = quarantinedMillis < 0 && tracker.isQuarantined(PART) ? millis : quarantinedMillis;
        }
        assertThat(quarantinedMillis).isEqualTo(quarantinedAtMillis);
    }
}
