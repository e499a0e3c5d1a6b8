package io.cactusspring.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records what happened at the simulated endpoints and checks each action against the guarantees.
 */
final class RouterOracle {
  private final Map<Long, RequestSpec> offered = new HashMap<>();
  private final Map<Long, Integer> executions = new HashMap<>();
  private final Map<String, Set<Long>> unitHoldersByTeam = new HashMap<>();
  private final Map<String, Integer> inFlightByEndpoint = new HashMap<>();
  private final Set<Long> ended = new HashSet<>();
  private final Set<String> openEndpoints = new HashSet<>();

  void offered(RequestSpec spec) {
    offered.put(spec.ticket(), spec);
  }

  String teamOf(long ticket) {
    return offered.get(ticket).team();
  }

  /** Sets the endpoints that may receive new work from now on. */
  void setOpen(List<String> names) {
    openEndpoints.clear();
    openEndpoints.addAll(names);
  }

  void ran(long ticket) {
    int n = executions.merge(ticket, 1, Integer::sum);
    check(n == 1 || offered.get(ticket).idempotent(), "non-idempotent " + ticket + " ran twice");
  }

  void attemptEnded(String endpoint) {
    inFlightByEndpoint.merge(endpoint, -1, Integer::sum);
  }

  void sent(RouterAction.Send s, int limit) {
    RequestSpec spec = offered.get(s.ticket());
    check(!ended.contains(s.ticket()), s.ticket() + " sent after its final answer");
    check(
        openEndpoints.contains(s.endpoint().name()), "new work for leaving " + s.endpoint().name());
    int n = inFlightByEndpoint.merge(s.endpoint().name(), 1, Integer::sum);
    check(n <= s.endpoint().info().slots(), s.endpoint().name() + " above its slots");
    Set<Long> ofTeam = unitHoldersByTeam.computeIfAbsent(spec.team(), t -> new HashSet<>());
    if (ofTeam.add(s.ticket())) {
      check(ofTeam.size() <= limit, "team " + spec.team() + " above its limit");
    }
  }

  /**
   * @param answerOf ticket of the request whose response is delivered
   */
  void delivered(RouterAction.Deliver d, long answerOf) {
    check(answerOf == d.ticket(), d.ticket() + " got the answer of " + answerOf);
    end(d.ticket());
  }

  void refused(RouterAction.Refuse r) {
    boolean ran = executions.containsKey(r.ticket());
    check(
        r.executionStatus() != ExecutionStatus.NO || !ran,
        r.ticket() + " was reported as not run but ran");
    end(r.ticket());
  }

  void dropped(long ticket) {
    end(ticket);
  }

  /** Checks that every request has had its final response. */
  void checkAllEnded() {
    List<Long> unanswered = new ArrayList<>(offered.keySet());
    unanswered.removeAll(ended);
    check(unanswered.isEmpty(), "cut off without an answer: " + unanswered);
  }

  private void end(long ticket) {
    check(ended.add(ticket), ticket + " was answered twice");
    unitHoldersByTeam.values().forEach(s -> s.remove(ticket));
  }

  static void check(boolean holds, String violation) {
    if (!holds) {
      throw new Violation(violation);
    }
  }
}
