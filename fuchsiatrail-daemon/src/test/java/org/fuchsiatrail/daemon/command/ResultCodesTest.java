package org.fuchsiatrail.daemon.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.fuchsiatrail.ResultCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks that docs/RESULT-CODES.md lists exactly the result codes, and that their numbers are unique. */
class ResultCodesTest {

    @Test
    void should_match_the_documented_table() throws IOException {
        List<String> documentLines = Files.readAllLines(Path.of("..", "docs", "RESULT-CODES.md"));
        assertThat(documentLines)
                .containsAll(Arrays.stream(ResultCode.values())
                        .map(ResultCodesCommand::documentationRow)
                        .toList());
        long rows = documentLines.stream()
                .filter(line -> line.matches("\\| [0-9]{4} .*"))
                .count();
        assertThat(rows).isEqualTo(ResultCode.values().length);
    }

    @Test
    void should_assign_a_unique_number_to_each_code() {
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
    }
}
