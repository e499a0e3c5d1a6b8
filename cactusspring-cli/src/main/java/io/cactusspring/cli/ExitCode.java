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
  REFUSED(3, "refused; a retry fails until the key, name, limit or note is changed"),
  NOT_RUN(4, "not run; the same request may be retried later"),
  OUTCOME_UNKNOWN(5, "the request may have run; query its outcome by the printed id"),
  UNREACHABLE(6, "no entry host could be reached; nothing was sent"),
  FAILED(7, "the run failed or was cancelled"),
  CONFLICT(8, "another operator changed an item of the note first"),
  NOT_FINISHED(9, "not finished yet, or not yet in force everywhere");

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
