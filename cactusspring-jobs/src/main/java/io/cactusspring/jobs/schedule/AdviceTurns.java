package io.cactusspring.jobs.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Gives every second advice call of a service with room to the step that was turned away longest
 * because no host was free for its call, so that an accepted job starts however much ranks before
 * it.
 *
 * <p>In a service without room, more calls would not start more tasks, and the order of the steps
 * alone decides.
 */
final class AdviceTurns {
  /** Longer than several calls take, so that turns are rare while callers suffice. */
  static final long TURN_AFTER_MILLIS = 2_000;

  /** Steps of one service that may ask first in one round; some of them have nothing to ask. */
  private static final int MAX_TURNS = 4;

  private final Function<LiveStep, String> serviceOf;
  private final Map<LiveStep, Long> turnedAwaySince = new IdentityHashMap<>();
  private Set<LiveStep> turns = Set.of();

  /** Services whose last call was made for a step in its turn. */
  private final Set<String> servicesWithTurnTaken = new HashSet<>();

  /**
   * @param serviceOf returns the name of the service of a step
   */
  AdviceTurns(Function<LiveStep, String> serviceOf) {
    this.serviceOf = serviceOf;
  }

  /** Records that no host was free for the call of a step. */
  void turnedAway(LiveStep step, long now) {
    turnedAwaySince.putIfAbsent(step, now);
  }

  /** Records that a call was made for a step. */
  void called(LiveStep step) {
    turnedAwaySince.remove(step);
    if (turns.contains(step)) {
      servicesWithTurnTaken.add(serviceOf.apply(step));
    } else {
      servicesWithTurnTaken.remove(serviceOf.apply(step));
    }
  }

  /** Records that a step has no executor to ask about. */
  void nothingToAsk(LiveStep step) {
    turnedAwaySince.remove(step);
  }

  /**
   * Starts a round. Moves the steps that have their turn to the front, the longest turned away
   * first.
   *
   * @param ranked the waiting steps in their order
   * @param hasRoom whether a service has room
   */
  List<LiveStep> startRound(List<LiveStep> ranked, Predicate<String> hasRoom, long now) {
    turnedAwaySince.keySet().removeIf(s -> !s.hasWaiting() || s.job().isFinal());
    turns = dueTurns(hasRoom, now);
    if (turns.isEmpty()) {
      return ranked;
    }
    turns.retainAll(Set.copyOf(ranked));
    return Stream.concat(turns.stream(), ranked.stream().filter(s -> !turns.contains(s))).toList();
  }

  private Set<LiveStep> dueTurns(Predicate<String> hasRoom, long now) {
    Map<String, Boolean> mayTakeTurn = new HashMap<>();
    Map<String, List<LiveStep>> due =
        turnedAwaySince.entrySet().stream()
            .filter(e -> now - e.getValue() >= TURN_AFTER_MILLIS)
            .filter(
                e ->
                    mayTakeTurn.computeIfAbsent(
                        serviceOf.apply(e.getKey()),
                        s -> !servicesWithTurnTaken.contains(s) && hasRoom.test(s)))
            .sorted(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey)
            .collect(Collectors.groupingBy(serviceOf));
    return due.values().stream()
        .flatMap(steps -> steps.stream().limit(MAX_TURNS))
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }
}
