package io.cactusspring.cli;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Runs the tool and captures its output. */
final class CliRunner {
  private final Map<String, String> environment = new HashMap<>();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private boolean terminal;

  CliRunner with(String variable, String value) {
    environment.put(variable, value);
    return this;
  }

  CliRunner onTerminal() {
    terminal = true;
    return this;
  }

  ExitCode run(String... arguments) {
    Cli cli =
        new Cli(
            environment,
            new ByteArrayInputStream("from input".getBytes(StandardCharsets.UTF_8)),
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            terminal);
    return cli.run(arguments);
  }

  String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  String err() {
    return err.toString(StandardCharsets.UTF_8);
  }
}
