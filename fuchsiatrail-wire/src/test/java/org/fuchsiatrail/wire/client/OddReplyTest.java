package org.fuchsiatrail.wire.client;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.fuchsiatrail.CacheEvents;
import org.fuchsiatrail.EntryVm;
import org.fuchsiatrail.LoadReport;
import org.fuchsiatrail.StoreRequest;
import org.fuchsiatrail.StoreResult;
import org.fuchsiatrail.wire.http.HttpLimits;
import org.fuchsiatrail.wire.http.HttpListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against an odd entry or reply that costs other entries, or reaches the core with parts missing. */
class OddReplyTest {

    private static final String VM = "{'id':'vm-1','failureDomain':'a','address':'10.0.0.1:1','leaving':false}";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final AsyncHttpClient http = Dsl.asyncHttpClient();
    private volatile String reply = "";
    private final HttpListener listener = HttpListener.listen(
            group,
            new InetSocketAddress("127.0.0.1", 0),
            HttpLimits.internal(),
            null,
            exchange -> exchange.respond(200, Map.of(), reply.getBytes(StandardCharsets.UTF_8)));

    @AfterEach
    void stop() throws Exception {
        http.close();
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private String address() {
        return "127.0.0.1:" + listener.port();
    }

    private StoreResult listVms(String json) throws Exception {
        reply = json.replace('\'', '"');
        CompletableFuture<StoreResult> result = new CompletableFuture<>();
        new StoreClient(http, address()).call(new StoreRequest.ListVms(), 2_000, result::complete);
        return result.get(3, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "7",
                "[]",
                "{}",
                "{'id':'','failureDomain':'a','address':'10.0.0.2:1','leaving':false}",
                "{'id':{},'failureDomain':'a','address':'10.0.0.2:1','leaving':false}",
                "{'failureDomain':'a','address':'10.0.0.2:1','leaving':false}",
                "{'id':'vm-2','address':'10.0.0.2:1','leaving':false}",
                "{'id':'vm-2','failureDomain':'a','leaving':false}",
                "{'id':'vm-2','failureDomain':'a','address':7e400,'leaving':false}",
                "{'id':'vm-2','failureDomain':'a','address':'nowhere','leaving':false}",
                "{'id':'vm-2','failureDomain':'a','address':'10.0.0.2:99999','leaving':false}",
                "{'id':'vm-2','failureDomain':'a','address':'10.0.0.2:1','leaving':[]}"
            })
    void should_read_the_entry_vms_beside_an_odd_one(String odd) throws Exception {
        StoreResult result =
                listVms("{'type':'VmList','vms':[" + VM + "," + odd + "," + VM.replace("vm-1", "vm-3") + "]}");
        assertThat(result).isInstanceOf(StoreResult.VmList.class);
        assertThat(((StoreResult.VmList) result).vms())
                .extracting(EntryVm::id)
                .extracting(Object::toString)
                .containsExactly("vm-1", "vm-3");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "7",
                "[]",
                "{}",
                "{'type':'VmList'}",
                "{'type':'VmList','vms':{}}",
                "{'type':'Found','version':1}",
                "{'type':'Found','version':1,'value':'%'}",
                "{'type':'Found','version':1e999999999,'value':''}",
                "{'type':'Other'}"
            })
    void should_report_an_unreadable_result_as_unavailable(String json) throws Exception {
        assertThat(listVms(json)).isInstanceOf(StoreResult.Unavailable.class);
    }

    private Optional<LoadReport> queryLoad(String json) throws Exception {
        reply = json.replace('\'', '"');
        CompletableFuture<Optional<LoadReport>> report = new CompletableFuture<>();
        new EngineClient(http).queryLoad(address(), received -> report.complete(Optional.ofNullable(received)));
        return report.get(3, TimeUnit.SECONDS);
    }

    @Test
    void should_read_a_complete_load_report() throws Exception {
        assertThat(queryLoad("{'engine':'e','incarnation':1,'queuedTokens':2,'runningStreams':3,'maximumStreams':4,"
                        + "'prefillTokensPerSecond':5,'models':['m@1'],'draining':false,'takenAtMillis':6}"))
                .isPresent();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "{}",
                "{'engine':'','models':[]}",
                "{'engine':'e'}",
                "{'engine':'e','models':[null]}",
                "{'engine':'e','models':['no version']}",
                "{'engine':'e','models':[],'runningStreams':-1}",
                "{'engine':'e','models':[],'queuedTokens':1e999999999}"
            })
    void should_not_pass_on_an_odd_load_report(String json) throws Exception {
        assertThat(queryLoad(json)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "{}",
                "{'engine':'e'}",
                "{'engine':'e','runs':[null]}",
                "{'engine':'e','runs':[{'anchor':1,'stored':[2]}]}",
                "{'engine':'e','runs':[{'anchor':1,'stored':[null],'evicted':[1e999999999]}]}"
            })
    void should_not_pass_on_odd_cache_events(String json) throws Exception {
        reply = json.replace('\'', '"');
        CompletableFuture<Optional<CacheEvents>> events = new CompletableFuture<>();
        new EngineClient(http)
                .readCacheEvents(address(), 0, received -> events.complete(Optional.ofNullable(received)));
        assertThat(events.get(3, TimeUnit.SECONDS)).isEmpty();
    }
}
