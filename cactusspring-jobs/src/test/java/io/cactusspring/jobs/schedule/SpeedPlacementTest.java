package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Tests the use of learned speeds under the load of customer C: one third of the executors takes
 * 2.4 times as long as the others, and estimates are off by a log-normal factor of sigma 0.9.
 */
final class SpeedPlacementTest {
  private static final Queue QUICK = queue("quick", 0, 1.5, 250, null);
  private static final Queue BATCH = queue("batch", 2, 2.2, 1_200, null);
  private static final Queue ADVISED =
      queue("advised", 2, 2.2, 1_200, new AdviceSettings(10, 1, 2_000));
  private static final double FAST = 0.7;
  private static final double SLOW = 1.7;

  private final UnequalFleet fleet = new UnequalFleet(QUICK, BATCH, ADVISED);

  private static Queue queue(
      String name, int priority, double stretch, long latency, AdviceSettings advice) {
    return new Queue(name, "host", "/q/", "svc", priority, 2, stretch, latency, advice, false);
  }

  private static StepSpec.Builder tasks(int count) {
    return StepSpec.builder()
        .tasks(count)
        .resources(new Resources(2_000, 1_000, 0))
        .estimateMillis(500);
  }

  /** Adds twelve executors, of which the last third has another kind. */
  private void addExecutors(double slow) {
    for (int i = 0; i < 12; i++) {
      boolean last = i >= 8;
      fleet.addExecutor("x" + (10 + i), last ? "old" : "new", last ? slow : FAST);
    }
  }

  /** Fills all executors with jobs, so that every kind gets tasks. */
  private List<Action.Start> train(Queue queue, int jobs) {
    for (int i = 0; i < jobs; i++) {
      fleet.submit(queue.name() + "-train" + i + "-" + fleet.now(), queue, tasks(10).build());
    }
    return fleet.runToEnd();
  }

  private static Set<String> executors(List<Action.Start> starts) {
    return starts.stream().map(Action.Start::executor).collect(Collectors.toSet());
  }

  private static boolean isOld(String executor) {
    return Integer.parseInt(executor.substring(1)) >= 18;
  }

  private List<Action.Start> startsOf(String id, Queue queue, StepSpec... steps) {
    fleet.submit(id, queue, steps);
    return fleet.start();
  }

  @Test
  void quickStepsGoToFastExecutorsAndStepsWithSlackToSlowOnes() {
    addExecutors(SLOW);
    train(QUICK, 40);
    train(BATCH, 40);
    List<Action.Start> quick = startsOf("q1", QUICK, tasks(10).build());
    assertThat(quick).hasSize(10);
    assertThat(executors(quick).stream().anyMatch(SpeedPlacementTest::isOld)).isFalse();
    List<Action.Start> batch = startsOf("b1", BATCH, tasks(10).build());
    assertThat(batch).hasSize(10);
    assertThat(executors(batch).stream().allMatch(SpeedPlacementTest::isOld)).isTrue();
  }

  /** A preference must never leave room unused while work waits. */
  @Test
  void stepUsesTheOtherKindIfItsPreferredOneIsFull() {
    addExecutors(SLOW);
    train(QUICK, 40);
    List<Action.Start> quick = startsOf("q1", QUICK, tasks(12 * 8).build());
    assertThat(quick).hasSize(12 * 8);
  }

  @Test
  void lastStepOfAChainThatTookLongGoesToFastExecutors() {
    addExecutors(SLOW);
    train(BATCH, 40);
    fleet.workMillis(id -> id.job().equals("b1") && id.step() == 0 ? 1_300.0 : 500.0);
    fleet.submit("b1", BATCH, tasks(4).build(), tasks(4).after(List.of(0)).build());
    List<Action.Start> both = fleet.runToEnd();
    Map<Integer, Set<String>> byStep =
        both.stream()
            .collect(
                Collectors.groupingBy(
                    s -> s.run().task().step(),
                    Collectors.mapping(Action.Start::executor, Collectors.toSet())));
    assertThat(byStep.get(0).stream().allMatch(SpeedPlacementTest::isOld)).isTrue();
    assertThat(byStep.get(1).stream().anyMatch(SpeedPlacementTest::isOld)).isFalse();
  }

  @Test
  void kindsThatDoNotDifferLeaveDecisionsAsTheyWere() {
    addExecutors(FAST);
    List<Action.Start> labelled = new ArrayList<>(train(QUICK, 60));
    labelled.addAll(train(BATCH, 20));
    UnequalFleet unlabelled = new UnequalFleet(QUICK, BATCH);
    for (int i = 0; i < 12; i++) {
      unlabelled.addExecutor("x" + (10 + i), "same", FAST);
    }
    List<Action.Start> expected = new ArrayList<>();
    for (Queue queue : List.of(QUICK, BATCH)) {
      for (int i = 0; i < (queue == QUICK ? 60 : 20); i++) {
        String id = queue.name() + "-train" + i + "-" + unlabelled.now();
        unlabelled.submit(id, queue, tasks(10).build());
      }
      expected.addAll(unlabelled.runToEnd());
    }
    assertThat(labelled).isEqualTo(expected);
  }

  /** An executor that fails tasks at once must not appear fast. */
  @Test
  void failedRunsDoNotCount() {
    addExecutors(FAST);
    fleet.endReason(
        s ->
            s.run().number() == 1 && s.run().task().index() % 3 == 0 && isOld(s.executor())
                ? EndReason.FAILED
                : EndReason.DONE);
    train(BATCH, 60);
    assertThat(
            fleet.log(DecisionListener.Kind.RUN_ENDED).stream().anyMatch(l -> l.contains("FAILED")))
        .isTrue();
    Map<String, Double> factors = fleet.scheduler().durationFactors();
    assertThat(factors.get("old") / factors.get("new")).isWithin(0.1).of(1);
  }

  @Test
  void inheritedFactorsGuideTheFirstDecision() {
    fleet.scheduler().inheritDurationFactors(Map.of("new", FAST, "old", SLOW));
    addExecutors(SLOW);
    assertThat(
            executors(startsOf("q1", QUICK, tasks(4).build())).stream()
                .anyMatch(SpeedPlacementTest::isOld))
        .isFalse();
    assertThat(
            executors(startsOf("b1", BATCH, tasks(4).build())).stream()
                .allMatch(SpeedPlacementTest::isOld))
        .isTrue();
  }

  @Test
  void wrongInheritedFactorsAreCorrectedByRuns() {
    fleet.scheduler().inheritDurationFactors(Map.of("new", SLOW, "old", FAST));
    addExecutors(SLOW);
    train(QUICK, 60);
    assertThat(
            executors(startsOf("q1", QUICK, tasks(4).build())).stream()
                .anyMatch(SpeedPlacementTest::isOld))
        .isFalse();
  }

  @Test
  void adviceCallNamesSlowExecutorsFirstForWorkWithSlack() {
    fleet.scheduler().inheritDurationFactors(Map.of("new", FAST, "old", SLOW));
    addExecutors(SLOW);
    startsOf("a1", ADVISED, tasks(1).build());
    Action.RequestAdvice call = (Action.RequestAdvice) fleet.actions().getLast();
    assertThat(call.executors().subList(0, 4).stream().allMatch(SpeedPlacementTest::isOld))
        .isTrue();
  }

  /** A line for each run end would flood the log while a factor settles. */
  @Test
  void learnedSpeedIsLoggedAtMostOnceInFiveSecondsForEachLabel() {
    addExecutors(SLOW);
    long before = fleet.now();
    train(QUICK, 60);
    List<String> lines = fleet.log(DecisionListener.Kind.SPEED_LEARNED);
    assertThat(lines).isNotEmpty();
    assertThat(lines.stream().anyMatch(l -> l.contains(" old factor "))).isTrue();
    assertThat(lines.size()).isAtMost((int) (2 * ((fleet.now() - before) / 5_000 + 1)));
  }

  /** Queue estimates are off by sigma 0.9; five times too large must not make a job look late. */
  @Test
  void stepWithAFarTooLargeEstimateIsJudgedByTheUsualDuration() {
    addExecutors(SLOW);
    train(QUICK, 60);
    List<Action.Start> starts = startsOf("q1", QUICK, tasks(4).estimateMillis(2_500).build());
    assertThat(executors(starts).stream().anyMatch(SpeedPlacementTest::isOld)).isFalse();
  }
}
