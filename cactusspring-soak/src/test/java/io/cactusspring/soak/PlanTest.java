package io.cactusspring.soak;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.soak.Fault.Group;
import io.cactusspring.soak.Fault.Kind;
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
