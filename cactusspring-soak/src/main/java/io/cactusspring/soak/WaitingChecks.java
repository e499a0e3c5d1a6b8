package io.cactusspring.soak;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.soak.RunChecks.Active;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/** Checks that accepted work starts while most of the capacity is free. */
final class WaitingChecks {
  /** Time in which work starts that most of the free capacity would suffice for. */
  static final long START_MILLIS = 3_000;

  /** What happened this long before the wait may not delay it. */
  static final long CALM_MILLIS = 4_000;

  /** After this time without a fault or an arrival nothing excuses a wait. */
  static final long SETTLED_MILLIS = 14_000;

  /** A lost run of a long-running task is replaced once its lease has lapsed. */
  static final long REPLACEMENT_MILLIS = 6_000;

  /** A lag of the soak's own event loop is reported by then. */
  private static final long LAG_REPORT_MILLIS = 500;

  /** Work was not started from 3 s before a time until that time. */
  private record Candidate(long at, String details) {}

  private final SoakOracle.Settings settings;
  private final Map<String, JobFacts> jobs;
  private final RunChecks runs;
  private final Executors executors;
  private final Disturbances disturbances;
  private final Findings findings;
  private final Map<String, Long> waitingSince = new HashMap<>();
  private final Set<String> reported = new HashSet<>();
  private final List<Candidate> candidates = new ArrayList<>();
  private Map<String, Resources> usedOn = Map.of();
  private Map<String, Resources> usedFor = Map.of();
  private long loadEndedAt = -1;
  private long executorChangedAt;

  WaitingChecks(
      SoakOracle.Settings settings,
      Map<String, JobFacts> jobs,
      RunChecks runs,
      Executors executors,
      Disturbances disturbances,
      Findings findings) {
    this.settings = settings;
    this.jobs = jobs;
    this.runs = runs;
    this.executors = executors;
    this.disturbances = disturbances;
    this.findings = findings;
  }

  void loadEnded(long at) {
    loadEndedAt = at;
  }

  void executorChanged(long at) {
    executorChangedAt = at;
  }

  /** Finds the work that has waited too long up to now, before the next observation counts. */
  void check(long now) {
    confirm(now - LAG_REPORT_MILLIS);
    boolean settled =
        loadEndedAt >= 0 && now >= Math.max(loadEndedAt, executorChangedAt) + SETTLED_MILLIS;
    if (!settled && !isCalm(now)) {
      return;
    }
    waitingSince.forEach(
        (work, since) -> {
          if (now - since >= START_MILLIS && reported.add(work)) {
            String details = "%s, which could start, waits since %d ms".formatted(work, since);
            if (settled) {
              findings.add(now, Rule.WORK_NOT_STARTED, details);
            } else {
              candidates.add(new Candidate(now, details));
            }
          }
        });
  }

  private boolean isCalm(long now) {
    return disturbances.isCalm(now - START_MILLIS - CALM_MILLIS, now);
  }

  /** Reports what was found up to a time, unless a lag that was reported later explains it. */
  private void confirm(long until) {
    candidates.stream()
        .filter(c -> c.at() <= until && isCalm(c.at()))
        .forEach(c -> findings.add(c.at(), Rule.WORK_NOT_STARTED, c.details()));
    candidates.removeIf(c -> c.at() <= until);
  }

  void finish(long now) {
    check(now);
    confirm(now);
  }

  /** Takes the observation at a time into account. */
  void update(long now) {
    Map<String, Long> waiting = new HashMap<>();
    usedOn = runs.usedBy((run, job) -> run.executor());
    usedFor = runs.usedBy((run, job) -> job.organisation);
    Resources used = usedOn.values().stream().reduce(Resources.NONE, Resources::plus);
    if (isBelowHalf(used, executors.capacity())) {
      Set<TaskId> running =
          runs.active().keySet().stream().map(Active::task).collect(Collectors.toSet());
      Set<String> started = running.stream().map(TaskId::job).collect(Collectors.toSet());
      jobs.values().stream()
          .filter(JobFacts::isOpen)
          .filter(j -> isBelowHalfOfLimit(j.organisation))
          .forEach(j -> addWaiting(j, started.contains(j.id), running, waiting, now));
    }
    waitingSince.keySet().retainAll(waiting.keySet());
    reported.retainAll(waiting.keySet());
    waiting.forEach(waitingSince::putIfAbsent);
  }

  private void addWaiting(
      JobFacts job, boolean started, Set<TaskId> running, Map<String, Long> waiting, long now) {
    for (int i = 0; i < job.steps.size(); i++) {
      StepSpec step = job.steps.get(i);
      List<TaskId> due = job.due(i);
      if (due.isEmpty() || started && !step.longRunning() || !hasRoomTwice(job, step, due.size())) {
        continue;
      }
      if (step.longRunning()) {
        due.stream()
            .filter(t -> !running.contains(t))
            .forEach(t -> waiting.put(t.toString(), Math.max(now, mayWaitUntil(job, t))));
      } else {
        waiting.put(job.id, now);
      }
    }
  }

  private static long mayWaitUntil(JobFacts job, TaskId task) {
    Long end = job.lastEnds.get(task);
    return end == null ? 0 : end + REPLACEMENT_MILLIS;
  }

  private boolean hasRoomTwice(JobFacts job, StepSpec step, int dueTasks) {
    long slots =
        executors.open().stream()
            .filter(e -> !job.queue.needsAdvice() || settings.adviceAllows().test(e.id()))
            .filter(
                e -> step.requiredLabel().isEmpty() || e.labels().contains(step.requiredLabel()))
            .mapToLong(e -> slots(e, step))
            .sum();
    return slots >= 2L * (step.gang() ? dueTasks : 1);
  }

  private long slots(ExecutorInfo executor, StepSpec step) {
    Resources all = executor.capacity();
    Resources used = usedOn.getOrDefault(executor.id(), Resources.NONE);
    Resources each = step.committed();
    long room =
        LongStream.of(
                slots(all.milliProcessors() - used.milliProcessors(), each.milliProcessors()),
                slots(all.memoryMib() - used.memoryMib(), each.memoryMib()),
                slots(all.accelerators() - used.accelerators(), each.accelerators()))
            .min()
            .orElse(0);
    return step.maxPerExecutor() == 0 ? room : Math.min(room, step.maxPerExecutor());
  }

  private static long slots(long free, long each) {
    return each == 0 ? StepSpec.MAX_TASKS : Math.max(0, free / each);
  }

  private boolean isBelowHalfOfLimit(String name) {
    return settings.organisations().stream()
        .filter(o -> o.name().equals(name))
        .map(Organisation::limit)
        .allMatch(limit -> isBelowHalf(usedFor.getOrDefault(name, Resources.NONE), limit));
  }

  /** Returns whether less than half of each amount is used; an amount of 0 means no limit. */
  private static boolean isBelowHalf(Resources used, Resources total) {
    return isBelowHalf(used.milliProcessors(), total.milliProcessors())
        && isBelowHalf(used.memoryMib(), total.memoryMib())
        && isBelowHalf(used.accelerators(), total.accelerators());
  }

  private static boolean isBelowHalf(long used, long total) {
    return total == 0 || 2 * used < total;
  }
}
