package io.cactusspring.cli;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.cli.command.Command;
import io.cactusspring.cli.command.CommandLine;
import io.cactusspring.cli.command.ParsedCommandLine;
import io.cactusspring.core.model.Urgency;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CommandLineTest {
  private final CliRunner tool = new CliRunner();

  @Test
  void misspelledCommandIsBadInputWithTheNearestName() {
    assertThat(tool.run("stauts")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(tool.err()).containsMatch("Did you mean:\\s+status");
  }

  @Test
  void misspelledOptionIsBadInputWithTheNearestName() {
    assertThat(tool.run("status", "--hots", "127.0.0.1:1")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(tool.err()).containsMatch("Did you mean:\\s+--host");
  }

  @Test
  void missingHostNamesTheOptionAndTheVariable() {
    assertThat(tool.run("status")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(tool.err()).contains("use --host URL or set CACTUSSPRING_HOSTS");
  }

  @Test
  void malformedHostNamesTheForm() {
    assertThat(tool.run("status", "--host", "ftp://127.0.0.1:1")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(tool.err()).contains("expected a URL with a port as in http://127.0.0.1:9001");
  }

  @Test
  void numberOutOfRangeNamesTheRange() {
    assertThat(tool.run("submit", "--tasks", "0")).isEqualTo(ExitCode.BAD_INPUT);
    assertThat(tool.err()).contains("tasks is 0; expected 1 to 10000");
  }

  @Test
  void versionNeedsNoHost() {
    assertThat(tool.run("version")).isEqualTo(ExitCode.OK);
    assertThat(tool.out()).containsMatch("^cactusspring \\d+\\.\\d+\\.\\d+\\s*$");
  }

  @Test
  void exitCodesAreDistinct() {
    assertThat(Arrays.stream(ExitCode.values()).map(ExitCode::number).toList())
        .containsNoDuplicates();
  }

  @Test
  void hostsOfTheEnvironmentAreTriedInOrder() throws Exception {
    Map<String, String> environment =
        Map.of("CACTUSSPRING_HOSTS", "127.0.0.1:9001, https://10.0.0.1:9002");
    ParsedCommandLine line = new CommandLine(environment).parse("teams");
    assertThat(line.connection().hosts().toString())
        .isEqualTo("[http://127.0.0.1:9001, https://10.0.0.1:9002]");
  }

  @Test
  void allGangOptionsAreParsed() throws Exception {
    String[] arguments =
        "gang --id g1 --tasks 4 --cpus 1.5 --memory 64 --accelerators 1 --expected 900 --once"
            .concat(" --checkpointable --urgency urgent --payload fail")
            .split(" ");
    Command command = new CommandLine(Map.of()).parse(arguments).command();
    Command.Submit s = (Command.Submit) command;
    assertThat(s.gang()).isTrue();
    assertThat(s.tasks()).isEqualTo(4);
    assertThat(s.task().resources().milliProcessors()).isEqualTo(1_500);
    assertThat(s.task().idempotent()).isFalse();
    assertThat(s.task().checkpointable()).isTrue();
    assertThat(s.task().urgency()).isEqualTo(Urgency.URGENT);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "request", "submit", "gang", "watch", "outcome", "cancel", "explain", "note check",
        "note apply", "note status", "key new", "config", "teams", "keys", "workers", "queue",
        "status", "drain", "version"
      })
  void everyCommandHasHelp(String command) {
    assertThat(tool.run((command + " --help").split(" "))).isEqualTo(ExitCode.OK);
    assertThat(tool.err()).isEmpty();
  }
}
