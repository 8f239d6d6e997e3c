package org.fuchsiatrail.daemon.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.fuchsiatrail.ResultCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResultCodesTest {

    @Test
    void should_match_the_documented_table() throws IOException {
        List<String> page = Files.readAllLines(Path.of("..", "docs", "RESULT-CODES.md"));
        assertThat(page)
                .containsAll(Arrays.stream(ResultCode.values())
                        .map(ResultCodesCommand::row)
                        .toList());
        long rows =
                page.stream().filter(line -> line.matches("\\| [0-9]{4} .*")).count();
        assertThat(rows).isEqualTo(ResultCode.values().length);
    }

    @Test
    void should_have_a_number_of_its_own_for_each_code() {
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
    }
}
