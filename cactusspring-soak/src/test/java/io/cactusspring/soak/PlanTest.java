package io.cactusspring.soak;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.soak.Fault.Group;
import io.cactusspring.soak.Fault.Kind;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against runs that cannot be replayed, and against faults that are never drawn. */
final class PlanTest {
  private static final long MINUTE = 60_000;

  private static List<Fault> draw(long seed) {
    return FaultPlan.draw(seed, MINUTE, 4, EnumSet.allOf(Group.class));
  }

  @Test
  void seedDeterminesFaultsAndLoad() {
    assertThat(draw(5)).isEqualTo(draw(5));
    assertThat(draw(5)).isNotEqualTo(draw(6));
    assertThat(new LoadPlan(5, draw(5), 0, 30).draw(MINUTE))
        .isEqualTo(new LoadPlan(5, draw(5), 0, 30).draw(MINUTE));
  }

  @Test
  void eachKindOfFaultIsDrawn() {
    Set<Kind> kinds =
        LongStream.range(0, 50)
            .boxed()
            .flatMap(seed -> draw(seed).stream())
            .map(Fault::kind)
            .collect(Collectors.toSet());
    assertThat(kinds).isEqualTo(EnumSet.allOf(Kind.class));
  }

  @Test
  void faultsEndWithinTheRun() {
    assertThat(draw(5).stream().allMatch(f -> f.until() <= MINUTE)).isTrue();
  }

  @Test
  void runWithoutFaultsHasOnlyLoad() {
    assertThat(FaultPlan.draw(5, MINUTE, 4, EnumSet.noneOf(Group.class))).isEmpty();
    assertThat(new LoadPlan(5, List.of(), 0, 0).draw(MINUTE).size()).isGreaterThan(300);
  }

  @Test
  void restartSeriesOfHostsOverlapAndExecutorsAreBackWithinASecond() {
    List<Fault> faults = RestartSeries.draw(5, MINUTE, 4);
    assertThat(faults).isEqualTo(RestartSeries.draw(5, MINUTE, 4));
    assertThat(faults.stream().map(Fault::kind).distinct().toList())
        .containsExactly(
            Kind.HOST_STOPPED,
            Kind.STORE_SLOW,
            Kind.EXECUTOR_CRASHED,
            Kind.EXECUTOR_SILENT,
            Kind.EXECUTOR_LATE);
    assertThat(faults.stream().allMatch(f -> f.at() >= 0 && f.until() <= MINUTE)).isTrue();
    List<Fault> crashes = faults.stream().filter(f -> f.kind() == Kind.EXECUTOR_CRASHED).toList();
    assertThat(crashes.size()).isAtLeast(20);
    assertThat(crashes.stream().allMatch(f -> f.millis() >= 300 && f.millis() <= 1_000)).isTrue();
    List<Fault> stops = faults.stream().filter(f -> f.kind() == Kind.HOST_STOPPED).toList();
    // The process needs seconds to start again, so that gaps of less than 2 s overlap.
    assertThat(
            IntStream.range(1, stops.size())
                .filter(i -> stops.get(i).at() - stops.get(i - 1).at() < 2_000)
                .count())
        .isAtLeast(stops.size() / 2);
  }

  @Test
  void shortTasksLeaveTheOtherJobsOfASeedAsTheyAre() {
    LoadPlan plan = new LoadPlan(5, draw(5), 0, 0, 100);
    List<Arrival> without = new LoadPlan(5, draw(5), 0, 0).draw(MINUTE);
    List<Arrival> with = plan.draw(MINUTE);
    assertThat(with).containsAtLeastElementsIn(without).inOrder();
    List<Arrival> added = with.stream().filter(a -> !without.contains(a)).toList();
    assertThat(added.size()).isGreaterThan(50);
    List<Long> durations =
        added.stream()
            .map(a -> plan.taskMillis(new TaskId(a.id(), 0, 0, 0), a.steps().get(0)))
            .toList();
    assertThat(Collections.min(durations)).isAtLeast(20);
    assertThat(Collections.max(durations)).isAtMost(300);
  }

  @Test
  void surgeMultipliesTheJobsOfOneOrganisationOnly() {
    Fault surge = new Fault(0, MINUTE, Kind.SURGE, 1, 600);
    long calm = jobsOf("org1", List.of());
    assertThat(jobsOf("org1", List.of(surge))).isGreaterThan(4 * calm);
    assertThat(jobsOf("org2", List.of(surge))).isLessThan(2 * jobsOf("org2", List.of()));
  }

  private static long jobsOf(String organisation, List<Fault> faults) {
    return new LoadPlan(5, faults, 0, 0)
        .draw(MINUTE).stream().filter(a -> a.organisation().equals(organisation)).count();
  }

  @Test
  void gangsLeaveTheOtherJobsOfASeedAsTheyAre() {
    List<Arrival> without = new LoadPlan(5, draw(5), 0, 0).draw(MINUTE);
    List<Arrival> with = new LoadPlan(5, draw(5), 0, 30).draw(MINUTE);
    assertThat(with).containsAtLeastElementsIn(without).inOrder();
    assertThat(with.size()).isGreaterThan(without.size() + 15);
  }

  @Test
  void gangsOfAllSizesFailWithOneAndWithSeveralMembers() {
    GangPlan plan = new GangPlan(5, 60);
    List<Arrival> jobs = plan.draw(2 * MINUTE);
    Set<Integer> sizes =
        jobs.stream()
            .flatMap(a -> a.steps().stream())
            .map(StepSpec::tasks)
            .collect(Collectors.toSet());
    assertThat(sizes).containsExactly(GangPlan.MIN_MEMBERS, 3, 4, 5, GangPlan.MAX_MEMBERS);
    Set<Integer> failing =
        jobs.stream().flatMap(a -> failingMembers(plan, a).stream()).collect(Collectors.toSet());
    assertThat(failing).containsAtLeast(0, 1, 2, GangPlan.MAX_MEMBERS);
  }

  /** Returns how many members of the first run of each gang of a job fail. */
  private static List<Integer> failingMembers(GangPlan plan, Arrival job) {
    return IntStream.range(0, job.steps().size())
        .mapToObj(
            i ->
                plan.failure(new StepId(job.id(), 0, i), job.steps().get(i).tasks(), 1)
                    .map(f -> f.delays().size())
                    .orElse(0))
        .toList();
  }
}
