package io.cactusspring.cli;

/**
 * Exit codes of the tool.
 *
 * @since 0.1
 */
public enum ExitCode {
  OK(0, "done"),
  INTERNAL_ERROR(1, "the tool itself failed"),
  BAD_INPUT(2, "an argument, a file or a key is malformed or missing; nothing was sent"),
  REFUSED(3, "refused, and it will be again until something is changed: key, name, limit, note"),
  NOT_RUN(4, "not run; the same may be sent again later"),
  OUTCOME_UNKNOWN(5, "it may have run; ask by the id that is printed"),
  UNREACHABLE(6, "no entry host could be reached; nothing was sent"),
  FAILED(7, "it ran and failed, or was cancelled"),
  CONFLICT(8, "another operator changed an item of the note first"),
  NOT_FINISHED(9, "not finished, or not in force everywhere, yet");

  private final int number;
  private final String meaning;

  ExitCode(int number, String meaning) {
    this.number = number;
    this.meaning = meaning;
  }

  public int number() {
    return number;
  }

  /** Returns the description for the help text. */
  public String meaning() {
    return meaning;
  }
}
