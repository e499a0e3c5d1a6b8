package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.AdviceSettings;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The answers of the advice service for one step: which executors may run it, which may not, and
 * the tickets granted for them.
 */
final class Tickets {
  /** Least remaining validity with which a ticket is used, so that the start arrives in time. */
  private static final long USE_MARGIN_MILLIS = 150;

  private record Ticket(String text, long bootMillis, long validUntil) {}

  private final Map<String, Ticket> ticketsByExecutor = new HashMap<>();
  private final Set<String> allowed = new HashSet<>();
  private final Set<String> denied = new HashSet<>();
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
    return denied.contains(executor.id());
  }

  boolean isAllowed(LiveExecutor executor) {
    return allowed.contains(executor.id());
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
   * arrives before the answer may remove the queue's advice.
   */
  void callStarted(AdviceSettings settings, long now) {
    callPending = true;
    callStartedAt = now;
    validityMillis = settings.validityMillis();
  }

  void callAnswered(Collection<LiveExecutor> asked, Map<String, String> tickets, long now) {
    callEnded(now);
    long validUntil = now + validityMillis;
    for (LiveExecutor e : asked) {
      String text = tickets.get(e.id());
      if (text == null) {
        denied.add(e.id());
        allowed.remove(e.id());
      } else {
        allowed.add(e.id());
        ticketsByExecutor.put(e.id(), new Ticket(text, e.bootMillis(), validUntil));
      }
    }
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
