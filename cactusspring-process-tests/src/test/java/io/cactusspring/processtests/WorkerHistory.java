package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.RunId;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The combined task events and violations recorded by all workers of a cell. */
record WorkerHistory(List<TaskEvent> events, List<Violations> violations) {

  /** The number of violations of each kind that one worker recorded. */
  record Violations(int overcommits, int doubleRuns) {}

  /** Asserts that no worker was overcommitted and no run had two tasks running at once. */
  void assertSafe() {
    assertWithMessage("violations of the workers")
        .that(violations.stream().distinct().toList())
        .containsExactly(new Violations(0, 0));
    eventsByRun().forEach(WorkerHistory::assertNeverConcurrent);
  }

  /** Asserts that each run of a submission was started exactly once. */
  void assertStartedOnce(String submission, int runs) {
    Map<RunId, Long> starts =
        events.stream()
            .filter(TaskEvent::isStart)
            .map(TaskEvent::run)
            .filter(run -> run.workload().equals(submission))
            .collect(Collectors.groupingBy(run -> run, Collectors.counting()));
    assertWithMessage("runs of " + submission + " started: " + starts).that(starts).hasSize(runs);
    assertWithMessage("starts of the runs of " + submission)
        .that(starts.values().stream().distinct().toList())
        .containsExactly(1L);
  }

  /** Returns the number of tasks of a submission that ended as SUCCEEDED. */
  long successesOf(String submission) {
    return events.stream()
        .filter(e -> "SUCCEEDED".equals(e.result()))
        .filter(e -> e.run().workload().equals(submission))
        .count();
  }

  long startsOf(String submission) {
    return events.stream()
        .filter(TaskEvent::isStart)
        .filter(e -> e.run().workload().equals(submission))
        .count();
  }

  private Map<RunId, List<TaskEvent>> eventsByRun() {
    return events.stream()
        .sorted(Comparator.comparingLong(TaskEvent::atNanos))
        .collect(Collectors.groupingBy(TaskEvent::run));
  }

  private static void assertNeverConcurrent(RunId run, List<TaskEvent> ordered) {
    int running = 0;
    for (TaskEvent event : ordered) {
      running += event.isStart() ? 1 : -1;
      assertWithMessage("concurrent tasks of " + run + " in " + ordered).that(running).isAtMost(1);
    }
  }
}
