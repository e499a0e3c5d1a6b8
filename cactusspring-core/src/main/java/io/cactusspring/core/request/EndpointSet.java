package io.cactusspring.core.request;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Endpoints of one service and their state on this entry host. */
final class EndpointSet {
  private final Map<String, EndpointState> states = new TreeMap<>();
  private final RequestSettings settings;
  private final RequestRules rules;
  private final EndpointPicker picker;

  EndpointSet(RequestSettings settings, RequestRules rules, EndpointPicker picker) {
    this.settings = settings;
    this.rules = rules;
    this.picker = picker;
  }

  /** Replaces the list; an endpoint missing from it is kept as leaving until it is idle. */
  void update(List<EndpointShare> shares, long nowNanos) {
    Set<String> named = new HashSet<>();
    for (EndpointShare s : shares) {
      named.add(s.name());
      states.computeIfAbsent(s.name(), n -> new EndpointState(s, settings, nowNanos)).setShare(s);
    }
    states.values().removeIf(e -> !named.contains(e.share().name()) && e.inFlight() == 0);
    states.values().stream()
        .filter(e -> !named.contains(e.share().name()))
        .forEach(e -> e.setShare(e.share().asLeaving()));
  }

  EndpointState get(String name) {
    return states.get(name);
  }

  /** Returns whether any endpoint accepts new work. */
  boolean anyAcceptsWork() {
    return states.values().stream().anyMatch(e -> rules.acceptsWork(e.share()));
  }

  /** Chooses the endpoint of a request's next attempt; empty if none has capacity. */
  Optional<EndpointState> choose(RequestLifecycle request, boolean maySpill, long nowNanos) {
    return picker.pick(states.values(), request.endpoint(), maySpill, nowNanos);
  }

  List<EndpointInFlight> loads() {
    return states.values().stream()
        .map(e -> new EndpointInFlight(e.share().name(), e.inFlight()))
        .toList();
  }
}
