package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.model.AdviceSettings;
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

  private final Map<String, Ticket> held = new HashMap<>();
  private final Set<String> allowed = new HashSet<>();
  private final Set<String> denied = new HashSet<>();
  private boolean asking;
  private long askedValidityMillis;
  private long askAgainAt;

  /** Returns the ticket for an executor if a start that is sent now can use it. */
  Optional<String> valid(LiveExecutor executor, long now) {
    Ticket ticket = held.get(executor.id());
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

  boolean asking() {
    return asking;
  }

  boolean mayAsk(long now) {
    return !asking && now >= askAgainAt;
  }

  /** Takes note of a call under terms that a later configuration may drop before its answer. */
  void asked(AdviceSettings terms) {
    asking = true;
    askedValidityMillis = terms.validityMillis();
  }

  void granted(Collection<LiveExecutor> asked, Map<String, String> tickets, long now) {
    asking = false;
    long validUntil = now + askedValidityMillis;
    for (LiveExecutor e : asked) {
      String text = tickets.get(e.id());
      if (text == null) {
        denied.add(e.id());
        allowed.remove(e.id());
      } else {
        allowed.add(e.id());
        held.put(e.id(), new Ticket(text, e.bootMillis(), validUntil));
      }
    }
  }

  void failed(long askAgain) {
    asking = false;
    askAgainAt = askAgain;
  }

  /** Drops a ticket that an executor did not accept. */
  void drop(LiveExecutor executor) {
    held.remove(executor.id());
  }
}
