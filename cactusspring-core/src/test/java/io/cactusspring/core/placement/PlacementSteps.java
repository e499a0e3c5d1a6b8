package io.cactusspring.core.placement;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/** Generators of random placement histories. */
final class PlacementSteps {
  private static final int WORKERS = 6;
  private static final int ANY = 100;

  private PlacementSteps() {}

  static Arbitrary<List<PlacementStep>> histories() {
    return Arbitraries.frequencyOf(
            Tuple.of(3, addWorker()),
            Tuple.of(1, setReachable()),
            Tuple.of(1, ints(0, WORKERS).map(PlacementStep.RemoveWorker::new)),
            Tuple.of(8, enqueue()),
            Tuple.of(2, enqueueGang()),
            Tuple.of(2, enqueueReplica()),
            Tuple.of(1, ints(0, ANY).map(PlacementStep.EnqueueAgain::new)),
            Tuple.of(1, ints(0, ANY).map(PlacementStep.Cancel::new)),
            Tuple.of(6, release()),
            Tuple.of(1, recover()),
            Tuple.of(1, setBudget()),
            Tuple.of(3, ints(1, 3).map(PlacementStep.Decide::new)),
            Tuple.of(6, Arbitraries.just(new PlacementStep.Decide(10_000))),
            Tuple.of(3, ints(1, 3_000).map(PlacementStep.Wait::new)))
        .list()
        .ofMinSize(20)
        .ofMaxSize(150);
  }

  static List<PlacementStep> sample(long seed) {
    return histories().generator(1_000).next(new Random(seed)).value();
  }

  private static Arbitrary<Integer> ints(int min, int max) {
    return Arbitraries.integers().between(min, max).withoutEdgeCases();
  }

  private static Arbitrary<Boolean> oneIn(int n) {
    return ints(1, n).map(i -> i == 1);
  }

  private static Arbitrary<PlacementStep> addWorker() {
    return Combinators.combine(ints(0, WORKERS), ints(1, 12), ints(1, 12), ints(0, 2), oneIn(8))
        .as(PlacementStep.AddWorker::new);
  }

  private static Arbitrary<PlacementStep> setReachable() {
    return Combinators.combine(ints(0, WORKERS), oneIn(2)).as(PlacementStep.SetReachable::new);
  }

  private static Arbitrary<PlacementStep> enqueue() {
    return Combinators.combine(ints(0, 2), ints(1, 6), ints(1, 6), oneIn(5), ints(0, 2), oneIn(2))
        .as((t, p, m, a, u, c) -> new PlacementStep.Enqueue(t, p, m, a ? 1 : 0, u, c));
  }

  private static Arbitrary<PlacementStep> enqueueGang() {
    return Combinators.combine(ints(0, 2), ints(1, 4), ints(2, 5))
        .as(PlacementStep.EnqueueGang::new);
  }

  private static Arbitrary<PlacementStep> enqueueReplica() {
    return Combinators.combine(ints(0, 2), ints(1, 3)).as(PlacementStep.EnqueueReplica::new);
  }

  private static Arbitrary<PlacementStep> release() {
    return Combinators.combine(ints(0, ANY), Arbitraries.of(ReleaseReason.class))
        .as(PlacementStep.Release::new);
  }

  private static Arbitrary<PlacementStep> recover() {
    return Combinators.combine(ints(0, WORKERS), ints(0, 2), ints(1, 3))
        .as(PlacementStep.Recover::new);
  }

  private static Arbitrary<PlacementStep> setBudget() {
    return Combinators.combine(ints(0, 2), ints(0, 12)).as(PlacementStep.SetBudget::new);
  }
}
