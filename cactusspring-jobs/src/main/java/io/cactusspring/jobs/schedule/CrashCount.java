package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.TaskProgress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * How many executors have crashed under what is judged as a whole: a task, or all members of a
 * gang. Of each run one crash counts, the first that is seen and not taken back.
 */
final class CrashCount {
  /** How a crash counts. */
  enum Weight {
    /** The task had just been started. */
    EARLY,
    /** The task had been running for some time. */
    LATE,
    /** The crash has a cause outside, or the start may never have been carried out. */
    OTHER
  }

  /**
   * A crash that this owner has seen under a run.
   *
   * @param crash empty if a previous owner saw the crash, which is never taken back
   */
  private record Seen(int run, String executor, Weight weight, Optional<Crash> crash) {}

  private final List<Seen> counted = new ArrayList<>();

  /** Crashes of runs for which another crash counts. */
  private final List<Seen> others = new ArrayList<>();

  private int countedRun;
  private int attributed;
  private int early;
  private int other;

  /** Returns the number of crashes that the task or gang may have caused. */
  int attributed() {
    return attributed;
  }

  /** Returns the number of crashes that came shortly after a start. */
  int early() {
    return early;
  }

  /** Returns the number of crashes and other ends of runs that it can hardly have caused. */
  int other() {
    return other;
  }

  /** Returns the number of all runs that count, whatever their causes. */
  int all() {
    return attributed + other;
  }

  /** Returns the executors of the crashes that this owner has counted. */
  List<String> executors() {
    return counted.stream().map(Seen::executor).toList();
  }

  /** Returns the number of the last run that counts; 0 if none does. */
  int countedRun() {
    return countedRun;
  }

  /** Returns whether a run counts already, because of another member of its gang. */
  boolean isCounted(int run) {
    return run <= countedRun;
  }

  /**
   * Records a crash under a run.
   *
   * @return whether it counts; false if another crash of the run does
   */
  boolean add(int run, String executor, Weight weight, Optional<Crash> crash) {
    Seen seen = new Seen(run, executor, weight, crash);
    if (isCounted(run)) {
      others.add(seen);
      return false;
    }
    count(seen);
    return true;
  }

  private void count(Seen seen) {
    counted.add(seen);
    change(seen.weight, 1);
    countedRun = Math.max(countedRun, seen.run);
  }

  /**
   * Takes a crash back that has turned out to be none. The next one that was seen under the same
   * run counts instead.
   *
   * @return whether the crash was counted
   */
  boolean takeBack(Crash crash) {
    others.removeIf(s -> isOf(s, crash));
    Optional<Seen> found = counted.stream().filter(s -> isOf(s, crash)).findFirst();
    found.ifPresent(this::uncount);
    return found.isPresent();
  }

  private static boolean isOf(Seen seen, Crash crash) {
    return seen.crash.filter(c -> c == crash).isPresent();
  }

  private void uncount(Seen seen) {
    counted.remove(seen);
    change(seen.weight, -1);
    Optional<Seen> next = others.stream().filter(s -> s.run == seen.run).findFirst();
    if (next.isPresent()) {
      others.remove(next.get());
      count(next.get());
    } else if (countedRun == seen.run) {
      // Members whose runs are not over yet may still crash.
      countedRun--;
    }
  }

  private void change(Weight weight, int by) {
    attributed += weight == Weight.OTHER ? 0 : by;
    early += weight == Weight.EARLY ? by : 0;
    other += weight == Weight.OTHER ? by : 0;
  }

  /** Counts a run that ended undone without a crash. */
  void addStart(int run) {
    other++;
    countedRun = Math.max(countedRun, run);
  }

  void clear() {
    attributed = 0;
    early = 0;
    other = 0;
    counted.clear();
    others.clear();
  }

  /**
   * Restores stored counts.
   *
   * @param tasks the task, or all members of the gang, whose counts earlier versions kept apart
   * @param lastCountedRun number of the gang's last run that counts
   */
  void restore(List<TaskProgress> tasks, int lastCountedRun) {
    attributed = tasks.stream().mapToInt(TaskProgress::crashes).sum();
    early = tasks.stream().mapToInt(TaskProgress::earlyCrashes).sum();
    other = tasks.stream().mapToInt(TaskProgress::otherCrashes).sum();
    countedRun = lastCountedRun;
  }
}
