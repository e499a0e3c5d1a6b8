package io.cactusspring.jobs.schedule;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The end of one boot of an executor, with what is known of the runs that were on it. */
final class Crash {
  /** How a crash is known, the weakest first. */
  enum Evidence {
    /** The executor was silent until its lease had lapsed; it may only have been cut off. */
    LAPSED("silent until its lease lapsed"),
    /** Another instance answers at the address of the executor. */
    REPLACED("another instance answers at its address"),
    /** The executor reports or announces a later boot. */
    REBOOTED("a later boot of it was seen");

    private final String text;

    Evidence(String text) {
      this.text = text;
    }

    boolean isCertain() {
      return this != LAPSED;
    }

    @Override
    public String toString() {
      return text;
    }
  }

  private final String executor;
  private final long bootMillis;
  private final long notBefore;
  private final long notAfter;
  private final Map<Run, LiveTask> runs;
  private final Set<Run> unproven = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Set<Run> early = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Set<Run> confirmed = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Optional<Attempts> culprit;
  private final Set<LiveTask> seenBy = new LinkedHashSet<>();
  private Evidence evidence;

  /**
   * @param notBefore when the executor last answered
   * @param notAfter when it was found silent, or now
   * @param runs the runs that may have existed on the executor, with their tasks
   */
  Crash(
      LiveExecutor executor,
      Evidence evidence,
      long notBefore,
      long notAfter,
      Map<Run, LiveTask> runs) {
    this.executor = executor.id();
    bootMillis = executor.bootMillis();
    this.evidence = evidence;
    this.notBefore = notBefore;
    this.notAfter = notAfter;
    this.runs = runs;
    runs.keySet().stream().filter(r -> !r.isProvenAt(notBefore)).forEach(unproven::add);
    runs.keySet().stream().filter(Run::isConfirmed).forEach(confirmed::add);
    confirmed.stream().filter(r -> !r.isInherited() && !r.isProvenAt(notAfter)).forEach(early::add);
    culprit = findCulprit();
  }

  /**
   * Returns the only task, or gang, that can have ended the executor shortly after its start. Of
   * several, or if there is none, it is that with more earlier crashes than each of the others.
   */
  private Optional<Attempts> findCulprit() {
    Map<Attempts, Integer> crashesByParty = new IdentityHashMap<>();
    (unproven.isEmpty() ? runs.keySet() : unproven)
        .forEach(
            r -> {
              Attempts party = runs.get(r).attempts();
              crashesByParty.put(party, party.crashes().attributed());
            });
    if (crashesByParty.size() == 1) {
      return crashesByParty.keySet().stream().findFirst();
    }
    int most = crashesByParty.values().stream().mapToInt(n -> n).max().orElse(0);
    List<Attempts> leading =
        crashesByParty.entrySet().stream()
            .filter(e -> e.getValue() == most)
            .map(Map.Entry::getKey)
            .toList();
    return most > 0 && leading.size() == 1 ? Optional.of(leading.get(0)) : Optional.empty();
  }

  String executor() {
    return executor;
  }

  long bootMillis() {
    return bootMillis;
  }

  Evidence evidence() {
    return evidence;
  }

  /** Returns whether the evidence was raised. */
  boolean raise(Evidence seen) {
    boolean raised = seen.compareTo(evidence) > 0;
    evidence = raised ? seen : evidence;
    return raised;
  }

  /** Returns whether a task, or its gang, is the most likely cause of the crash. */
  boolean isCulprit(LiveTask task) {
    return culprit.filter(c -> c == task.attempts()).isPresent();
  }

  /** Returns how the crash counts for a run, if it has no cause outside. */
  CrashCount.Weight weight(Run run) {
    if (!confirmed.contains(run)) {
      return CrashCount.Weight.OTHER;
    }
    return early.contains(run) ? CrashCount.Weight.EARLY : CrashCount.Weight.LATE;
  }

  /** Returns whether a run had certainly just been started, which may have caused the crash. */
  boolean followsAStart() {
    return !early.isEmpty();
  }

  /**
   * Returns whether another crash may have happened at the same time. A crash that followed a start
   * has a well-known time, and would seem to coincide with any that was noticed late.
   */
  boolean mayCoincide(Crash other, long slackMillis) {
    return followsAStart()
        ? Math.abs(notAfter - other.notAfter) <= slackMillis
        : notBefore - slackMillis <= other.notAfter && other.notBefore - slackMillis <= notAfter;
  }

  long notAfter() {
    return notAfter;
  }

  /** Returns how long a run had been confirmed when its executor last answered. */
  long workedMillis(Run run) {
    return notBefore - run.phaseAt();
  }

  /** Returns the tasks for which the crash was recorded when their runs were over. */
  Set<LiveTask> seenBy() {
    return seenBy;
  }

  Set<Run> runs() {
    return runs.keySet();
  }

  /** Returns the runs with what is known of their ages, for the log. */
  String describeRuns() {
    Function<Run, String> describe =
        r ->
            r.key()
                + (early.contains(r) ? " early" : unproven.contains(r) ? " unproven" : " proven")
                + (confirmed.contains(r) ? "" : " without an answer")
                + " after "
                + runs.get(r).attempts().crashes().attributed()
                + " crashes";
    return runs.keySet().stream().map(describe).collect(Collectors.joining(", "));
  }
}
