package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Test oracle: the versions of the configuration with the times of their acknowledgements, and
 * which of them allow an answer or a start. Knows nothing of how hosts read the configuration.
 *
 * <p>Times are milliseconds on one clock.
 */
public final class ConfigurationHistory {
  /** What a caller learns from an answer about the version that decided it. */
  public enum Verdict {
    /** The request was carried out, or was answered as only a known route and key allow. */
    SERVED,
    NO_QUEUE,
    UNKNOWN_KEY,
    /** The answer does not depend on the version. */
    UNRELATED
  }

  /**
   * A request and its answer.
   *
   * @param boot the process that answered; a restart makes it another one
   * @param key empty if the request carries none
   * @param settled whether the host was without a fault for so long that versions apply in time
   */
  public record Answer(
      String boot,
      String callerHost,
      String path,
      Optional<String> key,
      long sentAt,
      long answeredAt,
      Verdict verdict,
      boolean settled) {}

  /**
   * What operators are promised.
   *
   * @param applyMillis time after the acknowledgement from which a version decides at every settled
   *     host
   * @param revokeMillis time after the acknowledgement from which a key that was taken away works
   *     nowhere
   * @param rollbackMillis time after an answer from which the process must not decide by an older
   *     version
   */
  public record Bounds(long applyMillis, long revokeMillis, long rollbackMillis) {}

  private record Version(
      long number, List<Queue> queues, List<Organisation> organisations, long acknowledgedAt) {
    Optional<Queue> route(String callerHost, String path) {
      return queues.stream()
          .filter(q -> q.callerHost().equalsIgnoreCase(callerHost))
          .filter(q -> path.startsWith(q.pathPrefix()))
          .max(Comparator.comparingInt(q -> q.pathPrefix().length()));
    }

    boolean knows(Optional<String> key) {
      return key.isPresent()
          && organisations.stream().anyMatch(o -> o.keys().contains(key.orElseThrow()));
    }

    boolean allows(Answer answer) {
      Optional<Queue> queue = route(answer.callerHost(), answer.path());
      boolean mayUse = queue.isPresent() && (queue.get().open() || knows(answer.key()));
      return switch (answer.verdict()) {
        case SERVED -> mayUse;
        case NO_QUEUE -> queue.isEmpty();
        case UNKNOWN_KEY -> queue.isPresent() && !mayUse;
        case UNRELATED -> true;
      };
    }
  }

  /** The oldest version that a process may decide by, since it was seen to decide by it. */
  private record Floor(int index, long seenAt) {}

  private final Bounds bounds;
  private final List<Version> versions = new ArrayList<>();
  private final Map<String, Floor> floors = new HashMap<>();

  public ConfigurationHistory(Bounds bounds) {
    this.bounds = bounds;
  }

  /** Records that the store has acknowledged a version. */
  public void acknowledged(
      long number, List<Queue> queues, List<Organisation> organisations, long at) {
    versions.add(new Version(number, List.copyOf(queues), List.copyOf(organisations), at));
  }

  /**
   * Checks an answer.
   *
   * @return what is wrong with it; empty if a version allows it that may have been in force
   */
  public Optional<String> check(Answer answer) {
    int last = newestBefore(answer.answeredAt());
    Floor floor = floors.getOrDefault(answer.boot(), new Floor(0, Long.MIN_VALUE / 2));
    int oldest = answer.settled() ? newestBefore(answer.sentAt() - bounds.applyMillis()) : 0;
    int oldestOfProcess =
        answer.sentAt() > floor.seenAt() + bounds.rollbackMillis() ? floor.index() : 0;
    Optional<Integer> decidedBy = oldestAllowing(answer, Math.max(oldest, oldestOfProcess), last);
    if (decidedBy.isPresent()) {
      if (decidedBy.get() > floor.index()) {
        floors.put(answer.boot(), new Floor(decidedBy.get(), answer.answeredAt()));
      }
      return revokedKey(answer, last);
    }
    if (oldestAllowing(answer, oldest, last).isPresent()) {
      return Optional.of(
          describe(answer) + " after a later version than " + number(oldestOfProcess) + " decided");
    }
    return Optional.of(
        describe(answer)
            + " is allowed by no version from "
            + number(oldest)
            + " on, which was acknowledged "
            + (answer.sentAt() - versions.get(oldest).acknowledgedAt())
            + " ms before it was sent");
  }

  private Optional<String> revokedKey(Answer answer, int last) {
    if (answer.verdict() != Verdict.SERVED || answer.key().isEmpty()) {
      return Optional.empty();
    }
    int oldest = newestBefore(answer.sentAt() - bounds.revokeMillis());
    boolean open =
        versions.subList(0, last + 1).stream()
            .flatMap(v -> v.route(answer.callerHost(), answer.path()).stream())
            .anyMatch(Queue::open);
    boolean known =
        IntStream.rangeClosed(oldest, last).anyMatch(i -> versions.get(i).knows(answer.key()));
    return open || known
        ? Optional.empty()
        : Optional.of(describe(answer) + " with a key that was revoked by " + number(oldest));
  }

  /**
   * Returns the services on which the tasks of a job may start.
   *
   * @param queue name of the queue to which the job was submitted
   * @param sentAt when the submission was sent that was accepted
   * @param settled whether the host that accepted it was settled; see {@link Answer}
   */
  public Set<String> servicesAllowed(String queue, long sentAt, boolean settled) {
    int oldest = settled ? newestBefore(sentAt - bounds.applyMillis()) : 0;
    return versions.subList(oldest, versions.size()).stream()
        .flatMap(v -> v.queues().stream())
        .filter(q -> q.name().equals(queue))
        .map(Queue::service)
        .collect(Collectors.toSet());
  }

  private Optional<Integer> oldestAllowing(Answer answer, int from, int last) {
    return IntStream.rangeClosed(from, last)
        .boxed()
        .filter(i -> versions.get(i).allows(answer))
        .findFirst();
  }

  /** Returns the index of the newest version at a time; 0 before the first one. */
  private int newestBefore(long at) {
    return IntStream.range(0, versions.size())
        .filter(i -> versions.get(i).acknowledgedAt() <= at)
        .max()
        .orElse(0);
  }

  private String number(int index) {
    return "version " + versions.get(index).number();
  }

  private static String describe(Answer answer) {
    return "%s of %s with key %s at %s, sent %d, answered %d,"
        .formatted(
            answer.verdict(),
            answer.path(),
            answer.key().orElse("none"),
            answer.boot(),
            answer.sentAt(),
            answer.answeredAt());
  }
}
