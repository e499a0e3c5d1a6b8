package io.cactusspring.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsPageTest {
  private static final Path SETTINGS_PAGE = Path.of("..", "docs", "SETTINGS.md");
  private static final Pattern EXAMPLE = Pattern.compile("```json\n(.*?)```", Pattern.DOTALL);

  @TempDir Path directory;

  @Test
  void tableOnThePageMatchesSettingsFields() throws IOException {
    String expected =
        Arrays.stream(SettingsField.values())
            .map(SettingsPageTest::row)
            .collect(Collectors.joining("\n"));
    assertWithMessage("table of docs/SETTINGS.md, which must contain these rows")
        .that(Files.readString(SETTINGS_PAGE))
        .contains("|---|---|---|---|---|---|\n" + expected + "\n");
  }

  @Test
  void exampleOnThePageIsAccepted() throws Exception {
    Matcher m = EXAMPLE.matcher(Files.readString(SETTINGS_PAGE));
    assertThat(m.find()).isTrue();
    Path file = directory.resolve("example.json");
    Files.writeString(file, m.group(1));
    assertThat(SettingsReader.read(file).waitingWeight()).isEqualTo(80);
  }

  private static String row(SettingsField f) {
    String range = f.kind() == SettingsField.Kind.NUMBER ? f.min() + " to " + f.max() : "";
    return "| `%s` | %s | %s | %s | %s | %s |"
        .formatted(f.key(), f.kind().text(), f.unit(), range, defaultOf(f), f.purpose());
  }

  private static String defaultOf(SettingsField f) {
    if (f.required()) {
      return "required";
    }
    return f.defaultText().isEmpty() ? "off" : f.defaultText();
  }
}
