package io.cactusspring.daemon.settings;

import java.nio.file.Path;

/**
 * A settings file cannot be used. The message names the file, the line, the field, what was found
 * and what was expected.
 *
 * @since 0.1
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  SettingsException(Path file, int line, String problem) {
    super(file + ":" + line + ": " + problem);
  }

  SettingsException(Path file, String problem, Throwable cause) {
    super(file + ": " + problem, cause);
  }
}
