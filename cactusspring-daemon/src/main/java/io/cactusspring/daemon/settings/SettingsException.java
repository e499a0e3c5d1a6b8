package io.cactusspring.daemon.settings;

import java.nio.file.Path;

/**
 * Thrown when a settings file cannot be used. The message names the file and, as far as they apply,
 * the line, the field, the value found and the value expected.
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
