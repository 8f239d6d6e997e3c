package org.fuchsiatrail.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

class SettingsReaderTest {

    private static final String GOOD = """
            router:
              id: vm-1
              failureDomain: lima-1
              secret: a-secret-of-enough-length
            peers:
              listen: 10.0.0.1:7000
              seeds: [vm-2/lima-2/10.0.0.2:7000]
            callers:
              listen: 10.0.0.1:8000
            operators:
              listen: 10.0.0.1:9000
              token: a-token-of-enough-length
            store:
              address: 10.0.0.9:2379
            """;

    private List<SettingsFault> faults(String yaml) {
        return SettingsReader.read(yaml) instanceof SettingsResult.Invalid invalid ? invalid.faults() : List.of();
    }

    @Test
    void should_take_good_settings_with_defaults() {
        SettingsResult result = SettingsReader.read(GOOD);
        assertThat(result).isInstanceOfSatisfying(SettingsResult.Valid.class, valid -> {
            assertThat(valid.settings().integer(SettingKey.LEDGER_GAP_MILLIS)).isEqualTo(10);
            assertThat(valid.settings().routerSettings(5).seeds()).hasSize(1);
        });
    }

    @Test
    void should_name_every_fault_with_its_line() {
        String bad = GOOD.replace("10.0.0.1:7000", "nowhere")
                + "limits:\n  retryRatio: 7\n  retryRate: 0.1\nledger:\n  gapMillis: soon\n";
        assertThat(faults(bad))
                .extracting(SettingsFault::line, SettingsFault::path)
                .containsExactly(
                        tuple(6, "peers.listen"),
                        tuple(16, "limits.retryRatio"),
                        tuple(17, "limits.retryRate"),
                        tuple(19, "ledger.gapMillis"));
    }

    @Test
    void should_name_what_is_missing() {
        assertThat(faults("router:\n  id: vm-1\n"))
                .extracting(SettingsFault::path)
                .contains("router.failureDomain", "peers.listen", "store.address", "router.secret", "operators.token");
    }

    @Test
    void should_never_print_a_secret() {
        assertThat(faults(GOOD.replace("a-secret-of-enough-length", "hunter2")))
                .hasSize(1)
                .allSatisfy(fault -> assertThat(fault.toString()).doesNotContain("hunter2"));
    }

    @Test
    void should_refuse_a_key_that_stands_twice_and_half_a_tls_pair() {
        String twice = GOOD + "router:\n  id: vm-9\n";
        assertThat(faults(twice)).isNotEmpty();
        assertThat(faults(GOOD.replace("callers:\n", "callers:\n  tlsCertificate: /nonexistent\n")))
                .isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[", "a: [1", "- 1\n- 2", "router: 5", "\t", "router: {id: {a: b}}"})
    void should_tell_what_is_wrong_with_text_that_is_no_settings(String text) {
        assertThat(faults(text)).isNotEmpty();
    }

    @Test
    void should_match_the_documented_table() throws IOException {
        List<String> page = Files.readAllLines(Path.of("..", "docs", "SETTINGS.md"));
        for (SettingKey key : SettingKey.values()) {
            assertThat(page).contains(key.documentationRow());
        }
        long rows = page.stream().filter(line -> line.startsWith("| `")).count();
        assertThat(rows).isEqualTo(SettingKey.values().length);
    }

    @Test
    void should_accept_the_example_settings() throws IOException {
        for (String example : List.of("huaman.yaml", "bundesstelle.yaml")) {
            assertThat(faults(Files.readString(Path.of("..", "examples", example))))
                    .as(example)
                    .isEmpty();
        }
    }
}
