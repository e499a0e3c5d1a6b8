package io.cactusspring.soak;

import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.soak.Observation.Ended;
import io.cactusspring.soak.Observation.Started;
import io.cactusspring.soak.RunChecks.Active;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Checks that the members of a gang start together and from the same checkpoint. */
final class GangChecks {
  /** Time in which all members of a gang start; a refused start is tried again elsewhere. */
  static final long GANG_MILLIS = 4_000;

  /** Time in which the other members end when one has. */
  static final long BREAK_MILLIS = 1_000;

  /** Time that a member waits for the others before it ends alone. */
  static final long ALONE_MILLIS = 3_000;

  /** A lag of the soak's own event loop is reported by then. */
  private static final long LAG_REPORT_MILLIS = 500;

  private record RunId(StepId gang, int run) {}

  /** What was seen of a run: the checkpoint of its first start, and the members started. */
  private record RunFacts(String checkpoint, Set<TaskId> started) {}

  private final Map<String, JobFacts> jobs;
  private final RunChecks runs;
  private final Disturbances disturbances;
  private final Findings findings;
  private final Map<RunId, RunFacts> gangs = new HashMap<>();

  GangChecks(
      Map<String, JobFacts> jobs, RunChecks runs, Disturbances disturbances, Findings findings) {
    this.jobs = jobs;
    this.runs = runs;
    this.disturbances = disturbances;
    this.findings = findings;
  }

  private boolean isOfGang(TaskId task) {
    JobFacts job = jobs.get(task.job());
    return job != null && job.steps.get(task.step()).gang();
  }

  void started(Started start) {
    if (!isOfGang(start.task())) {
      return;
    }
    RunFacts facts =
        gangs.computeIfAbsent(
            new RunId(start.task().stepId(), start.run()),
            id -> new RunFacts(start.checkpoint(), new HashSet<>()));
    facts.started().add(start.task());
    if (!start.checkpoint().equals(facts.checkpoint())) {
      findings.add(
          start.at(),
          Rule.GANG_CHECKPOINTS_DIFFER,
          "%s run %d starts with '%s', another member with '%s'"
              .formatted(start.task(), start.run(), start.checkpoint(), facts.checkpoint()));
    }
    Set<TaskId> gone = new HashSet<>();
    findings.checkAfterCalm(
        start.at(),
        GANG_MILLIS,
        Rule.GANG_INCOMPLETE,
        () -> {
          members(start, facts, true).filter(t -> !isActive(t, start.run())).forEach(gone::add);
          return incomplete(start, members(start, facts, false).count());
        });
    findings.checkAfterCalm(
        start.at(),
        GANG_MILLIS + BREAK_MILLIS,
        Rule.GANG_INCOMPLETE,
        () -> incomplete(start, gone.size()));
  }

  /** Returns the members that are not done and have, or have not, been started in a run. */
  private Stream<TaskId> members(Started start, RunFacts facts, boolean started) {
    JobFacts job = jobs.get(start.task().job());
    return job.tasksOf(start.task().step())
        .filter(t -> facts.started().contains(t) == started && !job.done.contains(t));
  }

  private boolean isActive(TaskId task, int run) {
    return runs.active().keySet().stream().anyMatch(a -> a.task().equals(task) && a.run() == run);
  }

  private Optional<String> incomplete(Started start, long missing) {
    Active run = new Active(start.executor(), start.task(), start.run());
    return missing > 0 && runs.active().containsKey(run)
        ? Optional.of("%s runs with %d members missing".formatted(run, missing))
        : Optional.empty();
  }

  void ended(Ended end) {
    JobFacts job = jobs.get(end.task().job());
    if (end.reason() != EndReason.ALONE || job == null || job.cancelSent) {
      return;
    }
    long from = end.at() - ALONE_MILLIS - WaitingChecks.CALM_MILLIS;
    findings.checkAfterCalm(
        end.at(),
        LAG_REPORT_MILLIS,
        Rule.GANG_MEMBER_ALONE,
        () ->
            disturbances.isCalm(from, end.at() + LAG_REPORT_MILLIS)
                ? Optional.of(
                    "%s run %d on %s waited in vain from %d ms on"
                        .formatted(end.task(), end.run(), end.executor(), end.at() - ALONE_MILLIS))
                : Optional.empty());
  }
}
