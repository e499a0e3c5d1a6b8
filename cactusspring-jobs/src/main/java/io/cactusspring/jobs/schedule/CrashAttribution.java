package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.schedule.DecisionListener.Kind;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Counts the crashes of executors under tasks, and decides which tasks are given up.
 *
 * <p>A crash is counted for a run when the run is known to be over, together with the release of
 * its task, so that the ledger holds either both or neither.
 */
final class CrashAttribution {
  /**
   * A run is proven once its executor has answered this long after the start. Tasks that crash
   * their executor were seen to do so within 30 ms.
   */
  static final long PROVEN_MILLIS = 250;

  /** From this number of early crashes on, a task that is the likely cause is given up. */
  private static final int EARLY_CRASHES = 2;

  /** From this number of crashes on, a task is given up that is the likely cause. */
  private static final int CRASHES = 3;

  /** A task is given up at this number of crashes, whatever their causes: two starts later. */
  private static final int MAX_CRASHES = 5;

  /** A service that worked this long did not crash its executor by being started. */
  private static final long FORGIVEN_MILLIS = 20_000;

  /** So many crashes at once on executors where nothing had been started have a cause outside. */
  private static final int UNEXPLAINED_CRASHES = 2;

  /** Executors of a rack that is switched off fall silent within this time. */
  private static final long SIMULTANEOUS_MILLIS = 100;

  /** A cut network comes back within this time, if ever; answers after it change no count. */
  private static final long RETENTION_MILLIS = 600_000;

  private final OwnerState state;

  /** The last crash of each executor. */
  private final Map<String, Crash> crashes = new LinkedHashMap<>();

  CrashAttribution(OwnerState state) {
    this.state = state;
  }

  /**
   * Records that the present boot of an executor has crashed. A run that was on it counts as
   * crashed once it is over. An executor that was draining has ended as planned.
   */
  void observe(LiveExecutor executor, Crash.Evidence evidence, long now) {
    Crash known = crashes.get(executor.id());
    if (known != null && known.bootMillis() == executor.bootMillis()) {
      if (known.raise(evidence)) {
        log(known);
      }
      return;
    }
    if (executor.isDraining()) {
      return;
    }
    Crash crash = crash(executor, evidence, now);
    crashes.values().removeIf(c -> now - c.notAfter() > RETENTION_MILLIS);
    crashes.put(executor.id(), crash);
    crash.runs().forEach(r -> r.crash(Optional.of(crash)));
    log(crash);
  }

  private Crash crash(LiveExecutor executor, Crash.Evidence evidence, long now) {
    Map<Run, LiveTask> runs = new HashMap<>();
    for (Run run : executor.runs()) {
      LiveTask task = state.task(run.key().task());
      if (task != null && task.run() == run && run.mayHaveRun() && run.crash().isEmpty()) {
        runs.put(run, task);
      }
    }
    long silentSince = executor.isSilent() ? executor.silentSince() : now;
    return new Crash(executor, evidence, executor.answeredAt(), silentSince, runs);
  }

  private void log(Crash crash) {
    if (!crash.runs().isEmpty()) {
      state.decisionListener.decisionMade(
          Kind.EXECUTOR_CRASHED,
          "",
          crash.executor(),
          crash.evidence() + "; runs: " + crash.describeRuns());
    }
  }

  /** Takes back what was counted if the same boot of an executor answers again. */
  void answered(LiveExecutor executor, long now) {
    Crash crash = crashes.get(executor.id());
    if (crash == null || crash.bootMillis() != executor.bootMillis()) {
      return;
    }
    crashes.remove(executor.id());
    executor.runs().stream()
        .filter(r -> r.crash().filter(crash::equals).isPresent())
        .forEach(r -> r.crash(Optional.empty()));
    for (LiveTask task : crash.seenBy()) {
      if (state.task(task.id()) == task && !task.isDone()) {
        takeBack(crash, task, now);
      }
    }
  }

  private void takeBack(Crash crash, LiveTask task, long now) {
    CrashCount count = task.attempts().crashes();
    int before = count.all();
    if (count.takeBack(crash)) {
      // A task that is no suspect any more starts like others, on executors that have not changed.
      task.step().retry();
      state.changed.add(task.step().job());
      state.decisionListener.decisionMade(
          Kind.CRASH_TAKEN_BACK,
          task.step().job().id(),
          task.id().toString(),
          crash.executor()
              + " was only cut off, and answers after "
              + (now - crash.notAfter())
              + (count.all() == before ? "; another crash of the run counts instead" : ""));
    }
  }

  /**
   * Counts a run that is over and whose task is not done. Of a run of a gang one crash counts; the
   * others are kept in case that one is taken back.
   *
   * @return why the task is given up, or empty if it may start again
   */
  Optional<String> endedUndone(LiveExecutor executor, Run run, LiveTask task, long now) {
    if (!run.mayHaveRun()) {
      return Optional.empty();
    }
    CrashCount count = task.attempts().crashes();
    int number = run.key().number();
    if (!count.isCounted(number)) {
      forgive(executor, run, task);
    }
    if (run.crash().isPresent()) {
      return crashed(run.crash().get(), run, task, now);
    }
    if (executor.isForeign(run)) {
      // A previous owner saw the crash, and stored other runs of the executor since.
      count.add(number, executor.id(), CrashCount.Weight.OTHER, Optional.empty());
    } else if (count.isCounted(number) || count.all() < CRASHES) {
      return Optional.empty();
    } else {
      count.addStart(number);
    }
    return count.all() >= MAX_CRASHES ? Optional.of(reason(task)) : Optional.empty();
  }

  private static void forgive(LiveExecutor executor, Run run, LiveTask task) {
    long worked =
        run.crash()
            .map(c -> c.workedMillis(run))
            .orElseGet(() -> executor.answeredAt() - run.phaseAt());
    if (run.spec().longRunning() && worked >= FORGIVEN_MILLIS) {
      task.attempts().crashes().clear();
    }
  }

  private Optional<String> crashed(Crash crash, Run run, LiveTask task, long now) {
    boolean outside = isFromOutside(crash, now);
    CrashCount.Weight weight = outside ? CrashCount.Weight.OTHER : crash.weight(run);
    CrashCount count = task.attempts().crashes();
    crash.seenBy().add(task);
    if (!count.add(run.key().number(), crash.executor(), weight, Optional.of(crash))) {
      return Optional.empty();
    }
    state.decisionListener.decisionMade(
        Kind.TASK_SUSPECTED,
        task.step().job().id(),
        run.key().toString(),
        crash.executor()
            + " crashed, "
            + crash.evidence()
            + "; counts as "
            + weight
            + (outside ? ", because others crashed at the same time" : "")
            + (crash.isCulprit(task) ? ", likely cause" : "")
            + "; crashes "
            + count.all()
            + ", attributed "
            + count.attributed()
            + ", early "
            + count.early());
    return isGivenUp(crash, task, weight) ? Optional.of(reason(task)) : Optional.empty();
  }

  private static boolean isGivenUp(Crash crash, LiveTask task, CrashCount.Weight weight) {
    CrashCount count = task.attempts().crashes();
    if (count.all() >= MAX_CRASHES) {
      return true;
    }
    boolean suspicious = weight != CrashCount.Weight.OTHER && crash.isCulprit(task);
    boolean early = count.early() >= EARLY_CRASHES && crash.evidence().isCertain();
    return suspicious && (early || count.attributed() >= CRASHES);
  }

  /** Returns whether others crashed or fell silent at the same time on which nothing was new. */
  private boolean isFromOutside(Crash crash, long now) {
    Stream<Crash> silent =
        state.executors.values().stream()
            .filter(e -> e.isSilent() && !isKnown(e))
            .map(e -> crash(e, Crash.Evidence.LAPSED, now));
    return Stream.concat(crashes.values().stream(), silent)
            .filter(c -> !c.executor().equals(crash.executor()))
            .filter(c -> !c.followsAStart() && crash.mayCoincide(c, SIMULTANEOUS_MILLIS))
            .count()
        >= UNEXPLAINED_CRASHES;
  }

  private boolean isKnown(LiveExecutor executor) {
    Crash known = crashes.get(executor.id());
    return known != null && known.bootMillis() == executor.bootMillis();
  }

  private static String reason(LiveTask task) {
    CrashCount count = task.attempts().crashes();
    String names = String.join(", ", count.executors());
    return count.all() + " executors crashed under task " + task.id() + ", the last: " + names;
  }
}
