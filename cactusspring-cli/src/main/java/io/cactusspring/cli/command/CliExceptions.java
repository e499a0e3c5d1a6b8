package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.ClientException;
import io.cactusspring.cli.wire.Refusal;
import java.util.stream.Collectors;

/** Maps refusals and missing responses to exit codes and messages. */
final class CliExceptions {
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final String NOTE_CONFLICT = "note-conflict";

  private CliExceptions() {}

  static CliException of(Refusal refusal, int status) {
    return new CliException(exitCode(refusal, status), message(refusal));
  }

  static CliException of(ClientException e) {
    return e.possiblySent()
        ? new CliException(ExitCode.OUTCOME_UNKNOWN, "no response: " + e.getMessage(), e)
        : new CliException(ExitCode.UNREACHABLE, "unreachable: " + e.getMessage(), e);
  }

  private static ExitCode exitCode(Refusal refusal, int status) {
    if (NOTE_CONFLICT.equals(refusal.reason())) {
      return ExitCode.CONFLICT;
    }
    boolean temporary = status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR;
    if (!temporary) {
      return ExitCode.REFUSED;
    }
    return switch (String.valueOf(refusal.ran())) {
      case "NO" -> ExitCode.NOT_RUN;
      case "YES" -> ExitCode.FAILED;
      default -> ExitCode.OUTCOME_UNKNOWN;
    };
  }

  private static String message(Refusal r) {
    StringBuilder text = new StringBuilder(r.reason()).append(details(r));
    r.conflicts().forEach(c -> text.append(line(c)));
    if (r.retryAfterMillis() > 0) {
      text.append(" (try again in ").append(r.retryAfterMillis()).append(" ms)");
    }
    if (r.requestId() != null) {
      text.append(" [request ").append(r.requestId()).append(']');
    }
    return text.toString();
  }

  /** Returns the problems of a note, one per line, or the message of the refusal. */
  private static String details(Refusal r) {
    if (!r.problems().isEmpty()) {
      return r.problems().stream().map(p -> "\n  " + p).collect(Collectors.joining());
    }
    return r.message() == null || r.message().isEmpty() ? "" : ": " + r.message();
  }

  private static String line(Refusal.Conflict c) {
    String start = "\n  %s: based on revision %d, but ".formatted(c.item(), c.basedOn());
    if (c.revision() == 0) {
      return start + "it does not exist";
    }
    return start
        + "%s changed it at revision %d with note %s"
            .formatted(c.operator(), c.revision(), c.note());
  }
}
