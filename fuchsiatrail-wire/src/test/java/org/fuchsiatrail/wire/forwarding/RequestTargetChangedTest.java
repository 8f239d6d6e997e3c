package org.fuchsiatrail.wire.forwarding;

import java.util.function.UnaryOperator;

import org.fuchsiatrail.wire.http.RawCaller;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that reach an upstream with another target than their caller sent. */
class RequestTargetChangedTest {

    private static final String ATTEMPT = "a1";

    private static String request(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: " + LoopOnLoopback.HOST + "\r\n" + LoopOnLoopback.ATTEMPT + ": "
                + ATTEMPT + "\r\nConnection: close\r\n\r\n";
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/read/{x}",
                "/read/a|b",
                "/read/%7bx%7D",
                "/read/a%20b?c=%20",
                "/read/1?",
                "/read/1??a=b",
                "/read/1?a=%zz",
                "/read/1?a=b#c",
                "/read/1#c",
                "/read/a@b:80/c",
                "/read/a\\b",
                "/read/[x]",
                "/read/a;b=c",
                "/read//x/../y/./z",
                "/read/\"a<b>c^`",
                "/read/\u00e9",
                "/read/a\u0001b",
                "/read/%zz",
                "/read/%",
                "http://courses.example/read/1",
                "//courses.example/read/1",
                "*",
                "read/1",
                "?a",
            })
    void should_answer_a_request_and_forward_its_target_unchanged_or_not_at_all(String target) throws Exception {
        try (LoopOnLoopback loop = new LoopOnLoopback(UnaryOperator.identity(), UnaryOperator.identity());
                RawCaller caller = RawCaller.connect(loop.port()).send(request(target))) {
            String response = caller.readUntilEnd();
            if (loop.targets.containsKey(ATTEMPT)) {
                assertThat(response).startsWith("HTTP/1.1 200").endsWith("done " + ATTEMPT);
                assertThat(loop.targets.get(ATTEMPT)).isEqualTo(target);
            } else {
                assertThat(response).containsPattern("^HTTP/1.1 (400|404) ");
            }
            assertThat(loop.counter("outputs.failed") + loop.counter("connections.failed"))
                    .isZero();
        }
    }
}
