package io.cactusspring.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Supplier;

/** Violations found so far, and checks that are due after an undisturbed period. */
final class Findings {
  private record Pending(
      long begin, long boundMillis, Rule rule, Supplier<Optional<String>> problem) {
    long due() {
      return begin + boundMillis;
    }
  }

  private final Disturbances disturbances;
  private final List<Violation> violations = new ArrayList<>();
  private final PriorityQueue<Pending> pending =
      new PriorityQueue<>(Comparator.comparingLong(Pending::due));

  Findings(Disturbances disturbances) {
    this.disturbances = disturbances;
  }

  void add(long at, Rule rule, String details) {
    violations.add(new Violation(at, rule, details));
  }

  /**
   * Checks a condition once an undisturbed period of the given length has passed.
   *
   * @param problem returns what is wrong then
   */
  void checkAfterCalm(long begin, long boundMillis, Rule rule, Supplier<Optional<String>> problem) {
    pending.add(new Pending(begin, boundMillis, rule, problem));
  }

  /** Carries out the checks that are due. */
  void advance(long now) {
    while (!pending.isEmpty() && pending.peek().due() < now) {
      Pending check = pending.remove();
      long disturbedUntil = disturbances.lastEnd(check.begin(), check.due());
      if (disturbedUntil < 0) {
        check.problem().get().ifPresent(p -> add(now, check.rule(), p));
      } else {
        pending.add(
            new Pending(disturbedUntil + 1, check.boundMillis(), check.rule(), check.problem()));
      }
    }
  }

  List<Violation> violations() {
    return List.copyOf(violations);
  }
}
