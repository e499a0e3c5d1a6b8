package io.cactusspring.jobs.estimate;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.model.StepId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests what the model learns from the load of customer C: one third of 245 executors takes 2.4
 * times as long as the others, estimates are off by a log-normal factor of sigma 0.9, the durations
 * of a queue's steps vary with sigma 0.5, and those of sister tasks with 0.15.
 */
final class RunTimeModelTest {
  private static final int EXECUTORS = 245;
  private static final int SISTERS = 10;
  private static final double FAST = 0.7;
  private static final double SLOW = 1.7;
  private static final double USUAL_MILLIS = 540;

  private final Random random = new Random(7);
  private final Map<String, Double> trueFactors = new HashMap<>();
  private final Map<String, Set<String>> labels = new HashMap<>();
  private RunTimeModel model = new RunTimeModel();
  private long boot = 1;
  private int steps;

  /** Lists executors of three kinds, of which the third is slow, in racks of eight. */
  private void listExecutors(double slow) {
    for (int i = 0; i < EXECUTORS; i++) {
      String kind = "kind" + i / 8 % 3;
      list("x" + i, Set.of(kind, "rack" + i / 8), kind.equals("kind2") ? slow : FAST);
    }
  }

  private void list(String id, Set<String> labelsOfIt, double trueFactor) {
    trueFactors.put(id, trueFactor);
    labels.put(id, labelsOfIt);
    model.executorListed(id, boot, labelsOfIt);
  }

  private double factor(String id) {
    return model.factor(id, boot, labels.get(id));
  }

  private double labelFactor(String label) {
    return model.sharedFactors().getOrDefault(label, 1.0);
  }

  private Observation run(StepId step, long estimate, String executor, double millis) {
    return new Observation(
        "quick", step, estimate, executor, boot, labels.get(executor), Math.round(millis));
  }

  /** Runs steps, each on executors that are drawn at random from those given. */
  private void runSteps(int count, List<String> executors, double estimateSigma) {
    for (int i = 0; i < count; i++) {
      StepId step = new StepId("job" + steps++, 0, 0);
      double actual = USUAL_MILLIS * Math.exp(0.5 * random.nextGaussian());
      long estimate = Math.round(actual * Math.exp(estimateSigma * random.nextGaussian()));
      for (int task = 0; task < SISTERS; task++) {
        String executor = executors.get(random.nextInt(executors.size()));
        double noise = Math.exp(0.15 * random.nextGaussian());
        double millis = actual * trueFactors.get(executor) * noise;
        model.observe(run(step, estimate, executor, millis));
      }
      model.stepEnded(step);
    }
  }

  private void runSteps(int count) {
    runSteps(count, List.copyOf(trueFactors.keySet()), 0.9);
  }

  @Test
  void findsTheSlowKindWithinAFewHundredEnds() {
    listExecutors(SLOW);
    runSteps(40);
    assertThat(model.unequal()).isTrue();
    assertThat(labelFactor("kind2") / labelFactor("kind0")).isWithin(0.3).of(SLOW / FAST);
    assertThat(labelFactor("kind1") / labelFactor("kind0")).isWithin(0.1).of(1);
  }

  @Test
  void executorWithoutRunsHasTheFactorOfItsKind() {
    listExecutors(SLOW);
    List<String> someExecutors = trueFactors.keySet().stream().sorted().limit(120).toList();
    runSteps(100, someExecutors, 0.9);
    String unused = "x" + (EXECUTORS - 1);
    assertThat(factor(unused) / factor("x0"))
        .isWithin(0.3)
        .of(trueFactors.get(unused) / trueFactors.get("x0"));
  }

  @Test
  void kindsThatDoNotDifferStayEqual() {
    listExecutors(FAST);
    runSteps(2_000);
    assertThat(model.unequal()).isFalse();
    trueFactors.keySet().forEach(id -> assertThat(factor(id)).isWithin(0.15).of(1));
  }

  /** Sister tasks that vary widely by themselves must not be taken for a difference of kinds. */
  @Test
  void widelyVaryingTasksDoNotMakeKindsUnequal() {
    listExecutors(1);
    for (int i = 0; i < 3_000; i++) {
      StepId step = new StepId("wide" + i, 0, 0);
      for (int task = 0; task < SISTERS; task++) {
        String executor = "x" + random.nextInt(EXECUTORS);
        model.observe(run(step, 500, executor, 500 * Math.exp(0.6 * random.nextGaussian())));
      }
      model.stepEnded(step);
      assertThat(model.unequal()).isFalse();
    }
  }

  @Test
  void singleSlowExecutorIsFoundAndItsKindKeepsItsFactor() {
    listExecutors(FAST);
    trueFactors.put("x3", 3 * FAST);
    runSteps(1_000);
    assertThat(factor("x3") / factor("x0")).isWithin(0.4).of(3);
    assertThat(labelFactor("kind0") / labelFactor("kind1")).isWithin(0.08).of(1);
    assertThat(model.unequal()).isFalse();
  }

  /** After a reboot, another machine may have the id. */
  @Test
  void newBootDropsTheExecutorsOwnFactorButNotItsLabels() {
    listExecutors(SLOW);
    trueFactors.put("x3", 3 * FAST);
    runSteps(1_000);
    assertThat(factor("x3")).isGreaterThan(1.5);
    model.executorListed("x3", boot + 1, labels.get("x3"));
    assertThat(model.factor("x3", boot + 1, labels.get("x3")))
        .isWithin(1e-6)
        .of(labelFactor("kind0"));
    model.executorListed("x3", boot + 2, labels.get("x16"));
    assertThat(model.factor("x3", boot + 2, labels.get("x16")))
        .isWithin(1e-6)
        .of(labelFactor("kind2"));
  }

  @Test
  void runOfAnEarlierBootDoesNotCountForTheNewOne() {
    listExecutors(SLOW);
    runSteps(200);
    StepId step = new StepId("old", 0, 0);
    for (int i = 0; i < SISTERS; i++) {
      model.observe(run(step, 500, i == 0 ? "x3" : "x0", i == 0 ? 1_500 : 500));
    }
    model.executorListed("x3", boot + 1, labels.get("x3"));
    double before = model.factor("x3", boot + 1, labels.get("x3"));
    model.stepEnded(step);
    assertThat(model.factor("x3", boot + 1, labels.get("x3"))).isWithin(0.05).of(before);
  }

  /** A task that hangs or whose report is late takes a hundred times as long. */
  @Test
  void singleOutliersHardlyChangeFactors() {
    listExecutors(SLOW);
    runSteps(300);
    double fast = labelFactor("kind0");
    double one = factor("x3");
    StepId step = new StepId("outlier", 0, 0);
    for (int i = 0; i < SISTERS; i++) {
      model.observe(run(step, 500, i == 0 ? "x3" : "x0", i == 0 ? 50_000 : 500));
    }
    model.stepEnded(step);
    assertThat(labelFactor("kind0")).isWithin(0.1 * fast).of(fast);
    assertThat(factor("x3")).isWithin(0.25 * one).of(one);
  }

  @Test
  void estimatesThatCarryLittleInformationArePulledToTheUsualDuration() {
    listExecutors(SLOW);
    runSteps(500);
    double normal = USUAL_MILLIS * trueFactors.get("x0") / factor("x0");
    double small = model.expectedMillis("quick", Math.round(USUAL_MILLIS / 5));
    double large = model.expectedMillis("quick", Math.round(USUAL_MILLIS * 5));
    assertThat(small).isGreaterThan(normal / 2);
    assertThat(large).isLessThan(normal * 2);
    assertThat(small).isLessThan(large);
  }

  @Test
  void accurateEstimatesAreFollowed() {
    listExecutors(1);
    trueFactors.replaceAll((id, f) -> 1.0);
    runSteps(500, List.copyOf(trueFactors.keySet()), 0.05);
    assertThat(model.expectedMillis("quick", 300)).isWithin(50).of(300);
    assertThat(model.expectedMillis("quick", 1_200)).isWithin(200).of(1_200);
  }

  @Test
  void estimateIsTakenAsRightWithoutObservations() {
    assertThat(model.hasObservations("quick")).isFalse();
    assertThat(model.expectedMillis("quick", 700)).isWithin(1e-9).of(700);
  }

  @Test
  void missingOrAbsurdEstimateGivesAFiniteDuration() {
    assertThat(model.expectedMillis("quick", 0)).isWithin(1e-9).of(0);
    listExecutors(SLOW);
    runSteps(300);
    StepId step = new StepId("absurd", 0, 0);
    model.observe(run(step, 1L << 40, "x0", 500));
    model.observe(run(step, 0, "x1", 0));
    model.stepEnded(step);
    assertThat(model.expectedMillis("quick", 0)).isWithin(200).of(USUAL_MILLIS);
    assertThat(model.expectedMillis("quick", 1L << 40)).isLessThan(5 * USUAL_MILLIS);
    assertThat(model.expectedMillis("quick", 1)).isGreaterThan(USUAL_MILLIS / 5);
  }

  @Test
  void queueWithoutAnyEstimatesLearnsItsUsualDuration() {
    list("x1", Set.of(), 1);
    for (int i = 0; i < 300; i++) {
      StepId step = new StepId("job" + i, 0, 0);
      model.observe(run(step, 0, "x1", 800));
      model.stepEnded(step);
    }
    assertThat(model.expectedMillis("quick", 0)).isWithin(120).of(800);
  }

  @Test
  void inheritedFactorsTakeEffectAtOnce() {
    model = new RunTimeModel(Map.of("kind0", FAST, "kind1", FAST, "kind2", SLOW));
    listExecutors(SLOW);
    assertThat(model.unequal()).isTrue();
    assertThat(factor("x0")).isWithin(1e-6).of(FAST);
  }

  @Test
  void wrongInheritedFactorsAreCorrected() {
    model = new RunTimeModel(Map.of("kind0", SLOW, "kind1", 40.0, "kind2", FAST));
    listExecutors(SLOW);
    runSteps(60);
    assertThat(labelFactor("kind2") / labelFactor("kind0")).isWithin(0.3).of(SLOW / FAST);
    assertThat(labelFactor("kind1") / labelFactor("kind0")).isWithin(0.2).of(1);
  }

  /**
   * Whether a job is in time depends on what a normal executor is, which must not depend on wrong
   * factors of an earlier owner.
   */
  @Test
  void normalExecutorIsAnAverageOneWhateverWasInherited() {
    listExecutors(SLOW);
    runSteps(300);
    double learned = labelFactor("kind2");
    model = new RunTimeModel(Map.of("kind0", 3.0, "kind1", 4.0, "kind2", 5.0));
    listExecutors(SLOW);
    runSteps(300);
    assertThat(labelFactor("kind2")).isWithin(0.1).of(learned);
  }

  @Test
  void unusableInheritedFactorsAreIgnored() {
    model = new RunTimeModel(Map.of("kind0", 0.0, "kind1", Double.NaN, "kind2", -1.0));
    listExecutors(SLOW);
    assertThat(model.unequal()).isFalse();
    assertThat(factor("x0")).isWithin(1e-9).of(1);
  }

  /** Once quick work runs on fast executors only, no run compares the kinds any more. */
  @Test
  void factorsLastWhileKindsAreNotCompared() {
    listExecutors(SLOW);
    runSteps(200);
    double ratio = labelFactor("kind2") / labelFactor("kind0");
    List<String> fast =
        trueFactors.keySet().stream().filter(id -> trueFactors.get(id) == FAST).toList();
    runSteps(5_000, fast, 0.9);
    assertThat(labelFactor("kind2") / labelFactor("kind0")).isWithin(0.15).of(ratio);
  }

  /** Steps of cancelled jobs whose end is never told must not fill the owner's 64 MB heap. */
  @Test
  void stepsThatNeverEndAreDroppedInTheEnd() {
    listExecutors(SLOW);
    for (int i = 0; i < 20_000; i++) {
      model.observe(run(new StepId("job" + i, 0, 0), 500, "x0", 500));
    }
    assertThat(model.heldSteps()).isAtMost(4_096);
  }

  /** Racks are labels as well; a label that every executor has says nothing. */
  @Test
  void labelOfAllExecutorsIsNotUsed() {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 32; i++) {
      String id = "x" + i;
      list(id, Set.of("common", i < 16 ? "rack-a" : "rack-b"), i < 16 ? FAST : SLOW);
      ids.add(id);
    }
    runSteps(60, ids, 0.9);
    assertThat(model.sharedFactors().keySet()).containsExactly("rack-a", "rack-b");
    assertThat(model.unequal()).isTrue();
  }
}
