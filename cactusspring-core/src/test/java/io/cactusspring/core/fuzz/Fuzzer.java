package io.cactusspring.core.fuzz;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.Shrinkable;

/** Generates sequences of commands, runs them and shrinks the first that violates an invariant. */
final class Fuzzer {
  private static final int FRAMES = 8;
  private static final int GENERATOR_SIZE = 1_000;
  private static final int MAX_SHRINKS = 2_000;

  /** Time within which the first owners claim their shards. */
  private static final long START_MILLIS = 8_000;

  private final long seed;
  private final Set<Guard> guards;

  /**
   * A sequence that violates an invariant.
   *
   * @param tries number of sequences that were run until it was found
   */
  record Failure(
      long seed, int tries, List<Command> steps, List<String> violations, List<String> log) {
    private static final int LOG_LINES = 40;

    @Override
    public String toString() {
      String lines = steps.stream().map(c -> "  " + c + "\n").collect(Collectors.joining());
      String found = violations.stream().limit(5).collect(Collectors.joining("\n  "));
      String records =
          String.join("\n  ", log.subList(Math.max(0, log.size() - LOG_LINES), log.size()));
      return "seed %d, try %d, shrunk steps:\n%s  %s\nlog:\n  %s"
          .formatted(seed, tries, lines, found, records);
    }
  }

  Fuzzer(long seed, Set<Guard> guards) {
    this.seed = seed;
    this.guards = guards;
  }

  /** Runs sequences until one fails, and returns the failure after shrinking. */
  Optional<Failure> run(int tries) {
    Random random = new Random(seed);
    RandomGenerator<List<Command>> generator = Command.sequences().generator(GENERATOR_SIZE);
    for (int i = 1; i <= tries; i++) {
      Shrinkable<List<Command>> next = generator.next(random);
      if (!violations(next.value()).isEmpty()) {
        List<Command> steps = shrink(next);
        Simulation simulation = simulate(steps);
        List<String> log = simulation.log().lines();
        return Optional.of(new Failure(seed, i, steps, simulation.oracle().violations(), log));
      }
    }
    return Optional.empty();
  }

  private List<String> violations(List<Command> steps) {
    return simulate(steps).oracle().violations();
  }

  private Simulation simulate(List<Command> steps) {
    Simulation simulation = new Simulation(seed, guards);
    try {
      run(simulation, steps);
    } catch (IllegalStateException | IllegalArgumentException | NullPointerException e) {
      List<StackTraceElement> frames = Arrays.stream(e.getStackTrace()).limit(FRAMES).toList();
      simulation.oracle().check(false, e + " at " + frames);
    }
    return simulation;
  }

  private static void run(Simulation simulation, List<Command> steps) {
    simulation.events().runFor(START_MILLIS);
    for (int i = 0; i < steps.size() && simulation.oracle().violations().isEmpty(); i++) {
      steps.get(i).run(simulation, i);
    }
    if (simulation.oracle().violations().isEmpty()) {
      new FinalChecks(simulation).run();
    }
  }

  /** Returns the first violation of the first sequence that has one, without shrinking. */
  Optional<String> firstViolation(int tries) {
    Random random = new Random(seed);
    RandomGenerator<List<Command>> generator = Command.sequences().generator(GENERATOR_SIZE);
    return Stream.generate(() -> generator.next(random).value())
        .limit(tries)
        .flatMap(steps -> violations(steps).stream())
        .findFirst();
  }

  private List<Command> shrink(Shrinkable<List<Command>> failing) {
    Shrinkable<List<Command>> best = failing;
    int left = MAX_SHRINKS;
    boolean isSmaller = true;
    while (isSmaller && left > 0) {
      isSmaller = false;
      for (Shrinkable<List<Command>> s : best.shrink().limit(left).toList()) {
        left--;
        if (!violations(s.value()).isEmpty()) {
          best = s;
          isSmaller = true;
          break;
        }
      }
    }
    return best.value();
  }
}
