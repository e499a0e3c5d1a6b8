package io.cactusspring.core.placement;

import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.core.model.Resources;
import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class PlacementFuzzTest {
  private static final int MUTATION_TRIES = 300;

  @Provide
  Arbitrary<List<PlacementStep>> histories() {
    return PlacementSteps.histories();
  }

  @Property(tries = 2_000, seed = "41")
  void placementMatchesTheOracleInEveryHistory(@ForAll("histories") List<PlacementStep> steps) {
    new PlacementHistory(new PlacementRules()).apply(steps);
  }

  private static void assertCaught(PlacementRules mutation) {
    assertThrows(
        AssertionError.class,
        () ->
            LongStream.range(0, MUTATION_TRIES)
                .forEach(s -> new PlacementHistory(mutation).apply(PlacementSteps.sample(s))));
  }

  @Example
  void mutationThatIgnoresProcessorsIsCaught() {
    assertCaught(
        new PlacementRules() {
          @Override
          boolean fits(Resources need, Resources room) {
            return need.memoryMib() <= room.memoryMib()
                && need.accelerators() <= room.accelerators();
          }
        });
  }

  @Example
  void mutationThatExceedsBudgetsIsCaught() {
    assertCaught(
        new PlacementRules() {
          @Override
          boolean withinBudget(int running, int starting, int budget) {
            return running <= budget;
          }
        });
  }

  @Example
  void mutationThatStartsPartOfAGangIsCaught() {
    assertCaught(
        new PlacementRules() {
          @Override
          boolean gangIsComplete(int found, int gangSize) {
            return found > 0;
          }
        });
  }

  @Example
  void mutationThatQueuesARunningRunIsCaught() {
    assertCaught(
        new PlacementRules() {
          @Override
          boolean mayQueue(boolean runsAlready) {
            return true;
          }
        });
  }

  @Example
  void mutationThatUsesLeavingWorkersIsCaught() {
    assertCaught(
        new PlacementRules() {
          @Override
          boolean takesWork(WorkerState worker) {
            return worker.health().takesWork();
          }
        });
  }
}
