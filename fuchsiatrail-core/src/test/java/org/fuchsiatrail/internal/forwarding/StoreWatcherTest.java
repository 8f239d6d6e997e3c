package org.fuchsiatrail.internal.forwarding;

import java.util.Arrays;
import java.util.List;

import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.EntryVmId;
import org.fuchsiatrail.FailureDomain;
import org.fuchsiatrail.forwarding.ForwardingOutput;
import org.fuchsiatrail.forwarding.ForwardingSettings;
import org.fuchsiatrail.forwarding.StoreCall;
import org.fuchsiatrail.forwarding.StoreItem;
import org.fuchsiatrail.forwarding.StoreItemContent;
import org.fuchsiatrail.forwarding.StoreReply;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against items without a readable key that stop the reading of further pages, or begin it anew for ever. */
class StoreWatcherTest {

    private static final String NO_KEY = "";

    private final ForwardingContext context = new ForwardingContext(ForwardingSettings.builder()
            .self(new EntryVm(new EntryVmId("vm-1"), new FailureDomain("lima-a"), "10.0.0.1:7000", false))
            .seed(1)
            .build());
    private final StoreCallTable calls = new StoreCallTable(context);
    private final StoreReplica replica = new StoreReplica(context);
    private final StoreWatcher watcher = new StoreWatcher(context, calls, replica);
    private long now = 1_000;
    private ForwardingOutput.CallStore lastCall;

    @BeforeEach
    void start() {
        run();
    }

    private void run() {
        context.beginTick(now);
        watcher.run();
        recordCall();
    }

    private void recordCall() {
        for (ForwardingOutput output : context.endTick()) {
            lastCall = output instanceof ForwardingOutput.CallStore call ? call : lastCall;
        }
    }

    private void answer(StoreReply reply) {
        context.beginTick(now);
        calls.answer(lastCall.call(), reply, StoreReply.UNKNOWN_ERA);
        watcher.run();
        recordCall();
    }

    private static StoreReply page(boolean more, String... keys) {
        List<StoreItem> items = Arrays.stream(keys)
                .map(key -> new StoreItem(key, 5, new byte[0], new StoreItemContent.Unreadable("why")))
                .toList();
        return new StoreReply.Page(items, more, 9);
    }

    private String requestedAfterKey() {
        return ((StoreCall.ReadAll) lastCall.request()).afterKey();
    }

    @Test
    void should_begin_the_next_page_after_the_last_key_that_can_be_read() {
        answer(page(true, "a", "b", NO_KEY, NO_KEY));
        assertThat(requestedAfterKey()).isEqualTo("b");
        answer(page(true, NO_KEY, "d", NO_KEY));
        assertThat(requestedAfterKey()).isEqualTo("d");
        answer(page(false, NO_KEY));
        assertThat(lastCall.request()).isInstanceOf(StoreCall.Watch.class);
        assertThat(replica.revision()).isEqualTo(9);
    }

    @Test
    void should_wait_before_it_reads_pages_again_that_name_no_new_key() {
        answer(page(true, "a"));
        long call = lastCall.call();
        answer(page(true, "a", NO_KEY));
        assertThat(lastCall.call()).isEqualTo(call);
        now += 1_000;
        run();
        assertThat(requestedAfterKey()).isEmpty();
        assertThat(replica.revision()).isZero();
    }
}
