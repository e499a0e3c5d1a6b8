package io.cactusspring.cli.command;

import io.cactusspring.cli.CliException;
import io.cactusspring.cli.ExitCode;
import io.cactusspring.cli.client.Call;
import io.cactusspring.cli.output.Progress;
import io.cactusspring.cli.output.Result;
import io.cactusspring.cli.output.Table;
import io.cactusspring.cli.wire.SubmissionStatus;
import io.cactusspring.cli.wire.SubmissionStatus.RunStatus;
import io.cactusspring.core.model.Outcome;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Commands that query submissions. */
final class SubmissionCommands {
  private static final int MAX_ROWS = 20;

  private final Connection connection;
  private final Progress progress;

  SubmissionCommands(Connection connection, Progress progress) {
    this.connection = connection;
    this.progress = progress;
  }

  Result outcome(Command.SubmissionOutcome o) throws CliException {
    return result(fetch(o.id()));
  }

  Result watch(Command.Watch w) throws CliException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(w.timeoutMillis());
    try {
      while (true) {
        Optional<SubmissionStatus> status = tryFetch(w.id());
        boolean timedOut = System.nanoTime() - end >= 0;
        if (status.isPresent() && (timedOut || status.get().finished())) {
          return result(status.get());
        }
        if (timedOut) {
          return result(fetch(w.id()));
        }
        progress.show(
            status.map(SubmissionCommands::line).orElse("no entry host responds; waiting"));
        TimeUnit.MILLISECONDS.sleep(w.intervalMillis());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CliException(ExitCode.NOT_FINISHED, "interrupted", e);
    } finally {
      progress.clear();
    }
  }

  /** Returns empty while no host can respond, so that a wait continues through an outage. */
  private Optional<SubmissionStatus> tryFetch(String id) throws CliException {
    try {
      return Optional.of(fetch(id));
    } catch (CliException e) {
      return switch (e.exitCode()) {
        case UNREACHABLE, OUTCOME_UNKNOWN, NOT_RUN -> Optional.empty();
        default -> throw e;
      };
    }
  }

  Result explain(Command.Explain e) throws CliException {
    SubmissionStatus s = fetch(e.id());
    String reason = describeState(e.id(), s);
    return Result.ok(new Explanation(e.id(), reason), e.id() + ": " + reason);
  }

  /** JSON result of an explanation. */
  record Explanation(String id, String reason) {}

  private String describeState(String id, SubmissionStatus s) throws CliException {
    if (s.finished()) {
      return "has ended";
    }
    int pending = s.counts().getOrDefault("PENDING", 0);
    if (pending == 0) {
      return "is not waiting; its runs are running";
    }
    String unknown = pending + " runs are waiting; query the entry host that places them";
    return findWaitReason(id)
        .orElse(s.placedBy() == null ? unknown : unknown + ": " + s.placedBy());
  }

  /** Queries all hosts: only the one that places the runs reports what they wait for. */
  private Optional<String> findWaitReason(String id) throws CliException {
    Call.Builder call = Call.get("/v1/submissions/" + submissionOf(id));
    return connection.readAll(call, SubmissionStatus.class).responses().stream()
        .map(SubmissionStatus::waiting)
        .filter(w -> w != null && !w.isEmpty())
        .findFirst();
  }

  private static String submissionOf(String id) {
    int hash = id.indexOf('#');
    return hash < 0 ? id : id.substring(0, hash);
  }

  private SubmissionStatus fetch(String id) throws CliException {
    return connection.read(Call.get("/v1/submissions/" + submissionOf(id)), SubmissionStatus.class);
  }

  private static Result result(SubmissionStatus s) {
    return new Result(exitCode(s), s, text(s));
  }

  /** The most severe outcome of any run decides. */
  private static ExitCode exitCode(SubmissionStatus s) {
    if (!s.finished()) {
      return ExitCode.NOT_FINISHED;
    }
    if (s.count(Outcome.UNKNOWN) > 0) {
      return ExitCode.OUTCOME_UNKNOWN;
    }
    if (s.count(Outcome.FAILED) > 0 || s.count(Outcome.CANCELLED) > 0) {
      return ExitCode.FAILED;
    }
    return s.count(Outcome.INFEASIBLE) > 0 ? ExitCode.NOT_RUN : ExitCode.OK;
  }

  private static String text(SubmissionStatus s) {
    String waiting = s.finished() || s.waiting() == null ? "" : "\nwaits: " + s.waiting();
    List<RunStatus> shown =
        s.runs().stream().filter(r -> !"SUCCEEDED".equals(r.outcome())).toList();
    if (shown.isEmpty()) {
      return line(s) + waiting;
    }
    Table table = Table.of("RUN", "STATE", "ATTEMPT", "WORKER", "OUTCOME");
    shown.stream()
        .limit(MAX_ROWS)
        .forEach(r -> table.row(r.run(), r.state(), r.attempt(), r.worker(), r.outcome()));
    int more = shown.size() - MAX_ROWS;
    return line(s) + waiting + "\n" + table + (more > 0 ? "\nand " + more + " more" : "");
  }

  private static String line(SubmissionStatus s) {
    String counts =
        s.counts().entrySet().stream()
            .map(e -> e.getKey() + " " + e.getValue())
            .collect(Collectors.joining(", "));
    String cancelled = s.cancelled() ? ", cancelled" : "";
    return "%s of %s: %d of %d ended (%s)%s"
        .formatted(s.id(), s.team(), s.ended(), s.total(), counts, cancelled);
  }
}
