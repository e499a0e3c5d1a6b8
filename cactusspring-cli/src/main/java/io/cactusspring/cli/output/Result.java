package io.cactusspring.cli.output;

import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.wire.Json;

/**
 * Output of a command in either format, and the exit code of the tool.
 *
 * @param json printed with {@code --output json}
 * @param text printed otherwise
 * @since 0.1
 */
public record Result(ExitCode exitCode, Object json, String text) {
  public static Result ok(Object json, String text) {
    return new Result(ExitCode.OK, json, text);
  }

  /** Returns the output in a format. */
  public String print(OutputFormat format) {
    return switch (format) {
      case JSON -> Json.line(json);
      case TABLE -> text;
    };
  }
}
