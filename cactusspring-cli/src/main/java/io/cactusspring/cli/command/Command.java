package io.cactusspring.cli.command;

import io.cactusspring.core.model.TaskSpec;
import java.nio.file.Path;
import java.util.Optional;

/**
 * What the tool is asked to do.
 *
 * @since 0.1
 */
public sealed interface Command {
  /** Sends one request to a service. */
  record Request(
      String service,
      Body body,
      Optional<String> id,
      boolean idempotent,
      long deadlineMillis,
      Optional<String> queue)
      implements Command {}

  /** Where a request's body comes from. */
  sealed interface Body {
    /** Given on the command line. */
    record Text(String text) implements Body {}

    /** Read from a file. */
    record InFile(Path file) implements Body {}

    /** Read from standard input. */
    record StandardInput() implements Body {}
  }

  /**
   * Submits a batch or a gang.
   *
   * @param id chosen by the tool when empty
   * @param team the key's team when empty
   */
  record Submit(Optional<String> id, Optional<String> team, boolean gang, int tasks, TaskSpec task)
      implements Command {}

  /** Waits until a submission has ended. */
  record Watch(String id, long timeoutMillis, long intervalMillis) implements Command {}

  /** Tells how a submission ended or stands. */
  record SubmissionOutcome(String id) implements Command {}

  /** Cancels a submission. */
  record Cancel(String id) implements Command {}

  /** Tells why a run or the runs of a submission wait. */
  record Explain(String id) implements Command {}

  /** Shows what a note would change. */
  record NoteCheck(Path file, Optional<String> id) implements Command {}

  /** Sends a note. */
  record NoteApply(Path file, Optional<String> id, long waitMillis) implements Command {}

  /**
   * Tells which revision is in force on each entry host.
   *
   * @param revision the one that is waited for; 0 for the newest that any host knows
   */
  record NoteStatus(long revision, long waitMillis) implements Command {}

  /** Lists items of the configuration; all when the kind is empty. */
  record Config(Optional<String> kind) implements Command {}

  /** Lists teams with what they run. */
  record Teams() implements Command {}

  /** Lists workers. */
  record Workers() implements Command {}

  /** Lists the runs that wait. */
  record Queue() implements Command {}

  /** Shuts one entry host down gracefully. */
  record Drain() implements Command {}

  /** Shows what one entry host knows. */
  record Status() implements Command {}

  /**
   * Makes a key.
   *
   * @param team empty for an operator's key
   */
  record KeyNew(String name, Optional<String> team, Path file, boolean bootstrap)
      implements Command {}

  /** Prints the tool's version. */
  record Version() implements Command {}
}
