package io.cactusspring.daemon.control;

import io.cactusspring.core.budget.Demand;
import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.protocol.gen.EndpointLoad;
import io.cactusspring.protocol.gen.Heartbeat;
import io.cactusspring.protocol.gen.ShardLoad;
import io.cactusspring.protocol.gen.TeamLoad;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/**
 * Loads last reported by peers. The reports may be outdated, so no decision that must be correct
 * may depend on them.
 *
 * @since 0.1
 */
public final class PeerLoads {
  /** Reports of a peer that were received longer ago than this are ignored. */
  private static final long MAX_AGE_MILLIS = 3_000;

  private final Map<String, Report> byPeer = new ConcurrentHashMap<>();

  private record Report(Heartbeat heartbeat, long receivedAtMillis) {}

  /** Stores the loads of a heartbeat. Call it only for a heartbeat that carries loads. */
  public void onHeartbeat(String peer, Heartbeat heartbeat, long nowMillis) {
    byPeer.put(peer, new Report(heartbeat, nowMillis));
  }

  /** Returns the units of a team that wait at the accounts of peers. */
  public List<Demand> demand(String team, long nowMillis) {
    return recentHeartbeats(nowMillis)
        .flatMap(h -> h.getTeams().stream())
        .filter(t -> t.getTeam().equals(team) && t.getWaiting() > 0)
        .map(t -> new Demand(new BudgetAccount(t.getAccount()), t.getWaiting()))
        .toList();
  }

  /** Returns the number of requests that peers have in flight at an endpoint. */
  public int inFlight(String endpoint, long nowMillis) {
    return recentHeartbeats(nowMillis)
        .flatMap(h -> h.getEndpoints().stream())
        .filter(e -> e.getEndpoint().equals(endpoint))
        .mapToInt(EndpointLoad::getInFlight)
        .sum();
  }

  /** Returns the units of a team in use at the accounts of peers. */
  public int running(String team, long nowMillis) {
    return recentHeartbeats(nowMillis)
        .flatMap(h -> h.getTeams().stream())
        .filter(t -> t.getTeam().equals(team))
        .mapToInt(TeamLoad::getRunning)
        .sum();
  }

  /** Returns the load of a shard that a peer owns, or empty if no recent report has it. */
  public Optional<ShardLoad> shard(String shard, long nowMillis) {
    return recentHeartbeats(nowMillis)
        .flatMap(h -> h.getShards().stream())
        .filter(s -> s.getShard().equals(shard))
        .findFirst();
  }

  private Stream<Heartbeat> recentHeartbeats(long nowMillis) {
    return byPeer.values().stream()
        .filter(h -> nowMillis - h.receivedAtMillis() <= MAX_AGE_MILLIS)
        .map(Report::heartbeat);
  }
}
