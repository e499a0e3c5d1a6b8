package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.AdviceTerms;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the advice service has said about a step: which executors may run it, which may not, and the
 * tickets that are still valid.
 */
final class Tickets {
  /** Time that a start may take to arrive before its ticket ends. */
  private static final long USE_MARGIN_MILLIS = 150;

  private record Ticket(String text, long bootMillis, long validUntil) {}

  private final Map<String, Ticket> ticketsByExecutor = new HashMap<>();
  private final Set<String> allowed = new HashSet<>();
  private final Set<String> denied = new HashSet<>();
  private boolean callPending;
  private long validityMillis;
  private long nextCallAt;

  /** Returns the ticket for an executor if a start that is sent now can use it. */
  Optional<String> valid(LiveExecutor executor, long now) {
    Ticket ticket = ticketsByExecutor.get(executor.id());
    boolean usable =
        ticket != null
            && ticket.bootMillis == executor.bootMillis()
            && now < ticket.validUntil - USE_MARGIN_MILLIS;
    return usable ? Optional.of(ticket.text) : Optional.empty();
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

  boolean mayCall(long now) {
    return !callPending && now >= nextCallAt;
  }

  /** Takes note of a call under terms that a later configuration may drop before its answer. */
  void callStarted(AdviceTerms terms) {
    callPending = true;
    validityMillis = terms.validityMillis();
  }

  void callAnswered(Collection<LiveExecutor> asked, Map<String, String> tickets, long now) {
    callPending = false;
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

  void callFailed(long retryAt) {
    callPending = false;
    nextCallAt = retryAt;
  }

  /** Drops a ticket that an executor did not accept. */
  void drop(LiveExecutor executor) {
    ticketsByExecutor.remove(executor.id());
  }
}
