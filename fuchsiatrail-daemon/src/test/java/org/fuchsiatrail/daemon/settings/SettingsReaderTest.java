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

/** Tests that valid settings are accepted, and that invalid ones are reported with all errors and without secrets. */
class SettingsReaderTest {

    private static final String VALID_SETTINGS = """
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

    private List<SettingsError> readErrors(String yaml) {
        return SettingsReader.read(yaml) instanceof SettingsResult.Invalid invalid ? invalid.errors() : List.of();
    }

    @Test
    void should_accept_valid_settings_and_apply_defaults() {
        SettingsResult result = SettingsReader.read(VALID_SETTINGS);
        assertThat(result).isInstanceOfSatisfying(SettingsResult.Valid.class, valid -> {
            assertThat(valid.settings().integer(SettingKey.LEDGER_GAP_MILLIS)).isEqualTo(10);
            assertThat(valid.settings().routerSettings(5).seeds()).hasSize(1);
        });
    }

    @Test
    void should_report_every_error_with_its_line() {
        String invalid = VALID_SETTINGS.replace("10.0.0.1:7000", "nowhere")
                + "limits:\n  retryRatio: 7\n  retryRate: 0.1\nledger:\n  gapMillis: soon\n";
        assertThat(readErrors(invalid))
                .extracting(SettingsError::line, SettingsError::path)
                .containsExactly(
                        tuple(6, "peers.listen"),
                        tuple(16, "limits.retryRatio"),
                        tuple(17, "limits.retryRate"),
                        tuple(19, "ledger.gapMillis"));
    }

    @Test
    void should_report_missing_required_keys() {
        assertThat(readErrors("router:\n  id: vm-1\n"))
                .extracting(SettingsError::path)
                .contains("router.failureDomain", "peers.listen", "store.address", "router.secret", "operators.token");
    }

    @Test
    void should_never_print_a_secret() {
        assertThat(readErrors(VALID_SETTINGS.replace("a-secret-of-enough-length", "hunter2")))
                .hasSize(1)
                .allSatisfy(error -> assertThat(error.toString()).doesNotContain("hunter2"));
    }

    @Test
    void should_reject_duplicate_keys_and_an_incomplete_tls_pair() {
        String duplicateSection = VALID_SETTINGS + "router:\n  id: vm-9\n";
        assertThat(readErrors(duplicateSection)).isNotEmpty();
        assertThat(readErrors(VALID_SETTINGS.replace("callers:\n", "callers:\n  tlsCertificate: /nonexistent\n")))
                .isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[", "a: [1", "- 1\n- 2", "router: 5", "\t", "router: {id: {a: b}}"})
    void should_report_errors_for_text_that_is_not_a_settings_document(String text) {
        assertThat(readErrors(text)).isNotEmpty();
    }

    @Test
    void should_match_the_documented_table() throws IOException {
        List<String> documentLines = Files.readAllLines(Path.of("..", "docs", "SETTINGS.md"));
        for (SettingKey key : SettingKey.values()) {
            assertThat(documentLines).contains(key.documentationRow());
        }
        long rows =
                documentLines.stream().filter(line -> line.startsWith("| `")).count();
        assertThat(rows).isEqualTo(SettingKey.values().length);
    }

    @Test
    void should_accept_the_example_settings() throws IOException {
        for (String example : List.of("huaman.yaml", "bundesstelle.yaml")) {
            assertThat(readErrors(Files.readString(Path.of("..", "examples", example))))
                    .as(example)
                    .isEmpty();
        }
    }
}
