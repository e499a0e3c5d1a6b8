package io.cactusspring.cli;

/**
 * Thrown when a command ends without a result; carries the exit code.
 *
 * @since 0.1
 */
public final class CliException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  public CliException(ExitCode exitCode, String message) {
    this(exitCode, message, null);
  }

  public CliException(ExitCode exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  public ExitCode exitCode() {
    return exitCode;
  }
}
