package io.cactusspring.cli.note;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.core.security.AuthenticationException;
import io.cactusspring.core.security.Keys;
import io.cactusspring.core.security.PresentedKey;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A key with its secret, written {@code NAME.SECRET}.
 *
 * @since 0.1
 */
public record ApiKey(String name, String secret) {
  /**
   * Parses {@code NAME.SECRET}; the last dot separates the two.
   *
   * @param source where the text comes from, for the error message
   * @throws CliException if the text has another form; the message does not contain the text, which
   *     may hold a secret
   */
  public static ApiKey parse(String text, String source) throws CliException {
    try {
      PresentedKey key = Keys.parse(text.strip());
      return new ApiKey(key.name(), key.secret());
    } catch (AuthenticationException e) {
      throw new CliException(
          ExitCode.BAD_INPUT, source + " holds no key; expected one line NAME.SECRET", e);
    }
  }

  /**
   * Reads a key file.
   *
   * @throws CliException if the file cannot be read or holds no key
   */
  public static ApiKey read(Path file) throws CliException {
    return parse(readText(file), file.toString());
  }

  static String readText(Path file) throws CliException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new CliException(ExitCode.BAD_INPUT, file + " cannot be read: " + e, e);
    }
  }

  /** Returns the value of the header {@code Authorization}. */
  public String authorization() {
    return "Bearer " + name + "." + secret;
  }

  @Override
  public String toString() {
    return "ApiKey[name=" + name + "]";
  }
}
