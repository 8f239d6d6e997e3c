package org.fuchsiatrail.daemon.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a configuration that is sent with entries that are wrong or never match. */
class ConfigurationCommandTest {

    private static final String SOUND = """
            models:
              - {name: tutor, weights: '1'}
            customers:
              - {id: school, keyHash: 'KEY:HASH', share: 2, models: [tutor@1]}
            services:
              - {name: exams, notIdempotent: ['POST /submit']}
            upstreams:
              - {id: tutor-1, kind: ENGINE, failureDomain: a, address: '10.0.0.1:80', serves: [tutor@1]}
              - {id: exams-1, kind: SERVICE, failureDomain: a, address: '10.0.0.2:80', serves: [exams]}
            """.replace("KEY", "0".repeat(8)).replace("HASH", "a".repeat(64));

    @TempDir
    private Path directory;

    private final StringWriter out = new StringWriter();

    private int check(String text, String... options) throws IOException {
        Path file = Files.writeString(directory.resolve("intent.yaml"), text);
        CommandLine command = new CommandLine(new FuchsiatrailCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(out));
        String[] arguments = new String[options.length + 3];
        arguments[0] = "configuration";
        arguments[1] = "check";
        arguments[2] = file.toString();
        System.arraycopy(options, 0, arguments, 3, options.length);
        return command.execute(arguments);
    }

    @ParameterizedTest
    @ValueSource(strings = {"huaman-intent.yaml", "bundesstelle-intent.yaml"})
    void should_find_nothing_in_the_examples(String name) throws IOException {
        int exitCode = check(Files.readString(Path.of("..", "examples", name)));
        assertThat(out.toString()).contains("nothing found");
        assertThat(exitCode).isZero();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "kind: SERVICE, | kind: SERVICE, draining: true, | services[0] | draining",
                "serves: [tutor@1] | serves: [] | models[0] | No upstream serves",
                "models: [tutor@1] | models: [] | customers[0] | may use no model",
                "share: 2 | share: 0 | customers[0].share | read as 1",
                "10.0.0.2 | 10.0.0.1 | upstreams[1] | address of",
                "['POST /submit'] | ['POST /submit', 'POST /submit/final'] | services[0] | covers it"
            })
    void should_warn_of_entries_that_never_match_or_contradict_each_other(
            String sound, String changed, String where, String text) throws IOException {
        int exitCode = check(SOUND.replace(sound, changed));
        assertThat(out.toString()).contains("WARNING").contains(where).contains(text);
        assertThat(exitCode).isEqualTo(1);
    }

    @Test
    void should_warn_of_a_key_that_two_customers_hold() throws IOException {
        String customer = SOUND.lines()
                .filter(line -> line.contains("school"))
                .findFirst()
                .orElseThrow();
        check(SOUND.replace(customer, customer + "\n" + customer.replace("school", "college")));
        assertThat(out.toString()).contains("customers[1]").contains("keyHash of 'school'");
    }

    @ParameterizedTest
    @ValueSource(strings = {"nowhere: 1", "models: [", "customers: [{id: school}]"})
    void should_exit_with_2_for_an_error_or_an_unreadable_file(String text) throws IOException {
        assertThat(check(text)).isEqualTo(2);
    }

    @Test
    void should_print_what_differs_from_the_version_in_force_as_json() throws IOException {
        Path inForce = Files.writeString(directory.resolve("in-force.yaml"), SOUND.replace("share: 2", "share: 5"));
        int exitCode = check(SOUND, "--against", inForce.toString(), "--json");
        JsonNode result = new ObjectMapper().readTree(out.toString());
        assertThat(result.path("findings")).isEmpty();
        assertThat(result.path("changes").get(0).asText()).contains("share from 5 to 2");
        assertThat(exitCode).isZero();
    }
}
