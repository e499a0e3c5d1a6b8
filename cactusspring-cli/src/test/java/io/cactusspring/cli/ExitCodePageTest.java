package io.cactusspring.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ExitCodePageTest {
  private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");

  @Test
  void operationsPageListsEveryExitCode() throws IOException {
    String expected =
        Arrays.stream(ExitCode.values())
            .map(c -> "| %d | %s | %s |\n".formatted(c.number(), c.name(), c.meaning()))
            .collect(Collectors.joining());
    assertThat(Files.readString(PAGE))
        .contains("| code | name | meaning |\n|---|---|---|\n" + expected + "\n");
  }
}
