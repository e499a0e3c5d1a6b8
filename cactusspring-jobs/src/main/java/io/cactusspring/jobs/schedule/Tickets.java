package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.AdviceSettings;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The answers of the advice service for one step: which executors may run it, which may not, and
 * the tickets granted for them.
 */
final class Tickets {
  /** Least remaining validity with which a ticket is used, so that the start arrives in time. */
  private static final long USE_MARGIN_MILLIS = 150;

  /** Time after which a denial is doubted that keeps a step from room. */
  private static final long MIN_REPEAT_MILLIS = 5_000;

  /** Executors that are denied again and again are still asked about so often. */
  private static final long MAX_REPEAT_MILLIS = 20_000;

  private record Ticket(String text, long bootMillis, long validUntil) {}

  /** Whether one boot of an executor may run the step, and when that was answered. */
  private record Verdict(boolean allowed, long bootMillis, long answeredAt) {}

  private final Map<String, Ticket> ticketsByExecutor = new HashMap<>();
  private final Map<String, Verdict> verdicts = new HashMap<>();
  private Map<String, Long> askedBoots = Map.of();
  private long repeatMillis = MIN_REPEAT_MILLIS;
  private long repeatNotBefore = Long.MIN_VALUE;
  private boolean repeats;
  private int misses;
  private boolean callPending;
  private long validityMillis;
  private long nextCallAt;
  private long callStartedAt;
  private long answeredCallsMillis;

  /** Returns the ticket for an executor if it is valid for a start that is sent now. */
  Optional<String> valid(LiveExecutor executor, long now) {
    Ticket ticket = ticketsByExecutor.get(executor.id());
    boolean usable =
        ticket != null
            && ticket.bootMillis == executor.bootMillis()
            && now < ticket.validUntil - USE_MARGIN_MILLIS;
    return usable ? Optional.of(ticket.text) : Optional.empty();
  }

  /** Returns the ids of the executors for which tickets were granted, valid or not. */
  Set<String> executors() {
    return ticketsByExecutor.keySet();
  }

  boolean isDenied(LiveExecutor executor) {
    return verdict(executor).filter(v -> !v.allowed).isPresent();
  }

  boolean isAllowed(LiveExecutor executor) {
    return verdict(executor).filter(v -> v.allowed).isPresent();
  }

  /** Returns whether it is known if the present boot of an executor may run the step. */
  boolean isKnown(LiveExecutor executor) {
    return verdict(executor).isPresent();
  }

  /** Returns how many calls in a row were answered without a ticket. */
  int misses() {
    return misses;
  }

  /** Returns whether an executor that was denied may be asked about again. */
  boolean mayRepeat(LiveExecutor executor, long now) {
    return now >= repeatNotBefore
        && verdict(executor)
            .filter(v -> !v.allowed && now - v.answeredAt >= MIN_REPEAT_MILLIS)
            .isPresent();
  }

  /** Forgets which executors may run the step; granted tickets remain. */
  void forgetVerdicts() {
    verdicts.clear();
    repeatMillis = MIN_REPEAT_MILLIS;
    repeatNotBefore = Long.MIN_VALUE;
  }

  /** Returns what is known of the present boot, since a new one may be of another kind. */
  private Optional<Verdict> verdict(LiveExecutor executor) {
    return Optional.ofNullable(verdicts.get(executor.id()))
        .filter(v -> v.bootMillis == executor.bootMillis());
  }

  boolean callPending() {
    return callPending;
  }

  /** Returns for how many milliseconds the present call has been in progress. */
  long pendingMillis(long now) {
    return callPending ? now - callStartedAt : 0;
  }

  /** Returns from when the next call may be made. */
  long nextCallAt() {
    return nextCallAt;
  }

  boolean mayCall(long now) {
    return !callPending && now >= nextCallAt;
  }

  /**
   * Records that a call was sent. The validity of its tickets is kept, because a configuration that
   * arrives before the answer may remove the queue's advice. The answer concerns the boots that
   * were asked about.
   */
  void callStarted(Collection<LiveExecutor> asked, AdviceSettings settings, long now) {
    callPending = true;
    repeats = asked.stream().anyMatch(this::isDenied);
    askedBoots =
        asked.stream().collect(Collectors.toMap(LiveExecutor::id, LiveExecutor::bootMillis));
    callStartedAt = now;
    validityMillis = settings.validityMillis();
  }

  void callAnswered(Map<String, String> tickets, long now) {
    callEnded(now);
    misses = tickets.isEmpty() ? misses + 1 : 0;
    if (repeats) {
      repeatMillis = Math.min(MAX_REPEAT_MILLIS, repeatMillis * 2);
      repeatNotBefore = now + repeatMillis;
    }
    long validUntil = now + validityMillis;
    askedBoots.forEach(
        (id, boot) -> {
          String text = tickets.get(id);
          verdicts.put(id, new Verdict(text != null, boot, now));
          if (text != null) {
            ticketsByExecutor.put(id, new Ticket(text, boot, validUntil));
          }
        });
  }

  void callFailed(long retryAt, long now) {
    callEnded(now);
    nextCallAt = retryAt;
  }

  private void callEnded(long now) {
    callPending = false;
    answeredCallsMillis += now - callStartedAt;
  }

  /** Returns for how many milliseconds calls have been in progress. */
  long callMillis(long now) {
    return answeredCallsMillis + (callPending ? now - callStartedAt : 0);
  }

  /** Removes the ticket for an executor that refused it. */
  void drop(LiveExecutor executor) {
    ticketsByExecutor.remove(executor.id());
  }
}
