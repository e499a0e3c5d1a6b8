package io.cactusspring.core.fuzz;

import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.state.ClusterState;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Simulates requests in flight at the entry hosts and checks the teams' upper limits. */
final class TeamLimits {
  /** Time within which an owner that has read a lowered limit stops the work above it. */
  private static final long STOP_MILLIS = 10_000;

  private static final long TICK_MILLIS = 100;

  private final Simulation simulation;
  private final Map<String, Integer> inFlight = new TreeMap<>();
  private final Set<String> unreadMoves = new HashSet<>();
  private final Map<String, Integer> movedAway = new HashMap<>();
  private final Map<String, Deque<Integer>> allowed = new HashMap<>();

  TeamLimits(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Starts requests at a host, up to the unused part of the limit that the host holds. */
  void startRequests(Host host, String team, int wanted, long millis) {
    host.run(() -> admit(host, team, wanted, millis));
  }

  private void admit(Host host, String team, int wanted, long millis) {
    String key = key(host, team);
    int free = usableBudget(host, team) - inFlight.getOrDefault(key, 0);
    int admitted = Math.max(0, Math.min(wanted, free));
    inFlight.merge(key, admitted, Integer::sum);
    simulation.events().schedule(millis, () -> inFlight.merge(key, -admitted, Integer::sum));
  }

  /** Moves half of the unused part of a host's budget to another account. */
  void moveBudget(Host host, String team, BudgetAccount to, String id) {
    host.run(() -> appendMove(host, team, to, id));
  }

  private void appendMove(Host host, String team, BudgetAccount to, String id) {
    int spare = usableBudget(host, team) - inFlight.getOrDefault(key(host, team), 0);
    if (spare < 2) {
      return;
    }
    int amount = spare / 2;
    movedAway.merge(key(host, team), amount, Integer::sum);
    long revision = host.state().configuration().revisionOf("team/" + team);
    BudgetAccount from = BudgetAccount.ofHost(host.name());
    LogRecord.BudgetMoved moved =
        new LogRecord.BudgetMoved(id, team, from, to, amount, revision, 0);
    unreadMoves.add(id);
    host.append(List.of(moved), a -> {});
  }

  /** Handles a move of budget that a host has read from the log. */
  void moveRead(Host host, LogRecord.BudgetMoved moved) {
    boolean isOwn = moved.from().equals(BudgetAccount.ofHost(host.name()));
    if (isOwn && unreadMoves.remove(moved.id())) {
      movedAway.computeIfPresent(
          key(host, moved.team()), (k, n) -> Math.max(0, n - moved.amount()));
    }
  }

  private int usableBudget(Host host, String team) {
    int held = host.state().budget(team, BudgetAccount.ofHost(host.name()));
    return held - movedAway.getOrDefault(key(host, team), 0);
  }

  /** Checks running tasks and requests against the highest limit that a live host may have read. */
  void check() {
    Map<String, Integer> running = new TreeMap<>();
    simulation.oracle().runningTeams().forEach(t -> running.merge(t, 1, Integer::sum));
    inFlight.forEach(
        (key, n) -> running.merge(key.substring(key.indexOf('/') + 1), n, Integer::sum));
    CellFixture.TEAMS.forEach(t -> check(t, running.getOrDefault(t, 0)));
  }

  private void check(String team, int running) {
    Deque<Integer> recent = allowed.computeIfAbsent(team, t -> new ArrayDeque<>());
    recent.addLast(highestKnownLimit(team));
    if (recent.size() > STOP_MILLIS / TICK_MILLIS) {
      recent.removeFirst();
    }
    int limit = recent.stream().mapToInt(Integer::intValue).max().orElse(0);
    simulation
        .oracle()
        .check(
            running <= limit, team + " has " + running + " running, above its limit of " + limit);
  }

  private int highestKnownLimit(String team) {
    Stream<ClusterState> states =
        Stream.concat(Stream.of(simulation.log().reference()), simulation.liveStates().stream());
    return states
        .map(s -> s.configuration().team(team))
        .mapToInt(t -> t.map(ConfigItem.Team::maxRunning).orElse(0))
        .max()
        .orElse(0);
  }

  private static String key(Host host, String team) {
    return host.name() + "/" + team;
  }
}
