package io.cactusspring.daemon.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class EventTest {
  private static final Path PAGE = Path.of("..", "docs", "EVENTS.md");

  @Test
  void eventNumbersAreUniqueAndAscending() {
    List<String> codes = Arrays.stream(Event.values()).map(Event::code).toList();
    assertThat(codes).containsNoDuplicates();
    assertThat(codes).isInStrictOrder();
  }

  @Test
  void placeholdersAreFilledInOrder() {
    assertThat(Event.SHARD_CLAIMED.format(List.of("riga-a/0", 1234567)))
        .isEqualTo("CS1301 shard riga-a/0 claimed with epoch 1234567");
  }

  @Test
  void bracesAndDollarsInValuesAreNotInterpreted() {
    assertThat(Event.NOT_READY.format(List.of("{revision} $1 \\")))
        .isEqualTo("CS1003 not ready: {revision} $1 \\");
  }

  @Test
  void missingValueIsRejectedWithExpectedNames() {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class, () -> Event.SHARD_CLAIMED.format(List.of("riga-a/0")));
    assertThat(e).hasMessageThat().isEqualTo("CS1301 got 1 values; expected [shard, epoch]");
  }

  @Test
  void documentationListsEveryEvent() throws IOException {
    String expected =
        Arrays.stream(Event.values()).map(EventTest::row).collect(Collectors.joining("\n"));
    assertWithMessage("table of docs/EVENTS.md, which must contain a row for each event")
        .that(Files.readString(PAGE))
        .contains("|---|---|---|---|\n" + expected + "\n");
  }

  private static String row(Event e) {
    return "| %s | %s | %s | %s |".formatted(e.code(), e.level(), e.text(), e.advice());
  }
}
