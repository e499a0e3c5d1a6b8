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
 * What peers last said of their load. Hints may be old and decide nothing that has to hold.
 *
 * @since 0.1
 */
public final class Hints {
  /** A peer's hints are dropped when it has been silent for this long. */
  private static final long MAX_AGE_MILLIS = 3_000;

  private final Map<String, Report> byPeer = new ConcurrentHashMap<>();

  private record Report(Heartbeat heartbeat, long receivedAtMillis) {}

  /** Takes the hints of a heartbeat that carries any. */
  public void heard(String peer, Heartbeat heartbeat, long nowMillis) {
    byPeer.put(peer, new Report(heartbeat, nowMillis));
  }

  /** Demand of a team at the accounts of peers. */
  public List<Demand> demand(String team, long nowMillis) {
    return recentHeartbeats(nowMillis)
        .flatMap(h -> h.getTeams().stream())
        .filter(t -> t.getTeam().equals(team) && t.getWaiting() > 0)
        .map(t -> new Demand(new BudgetAccount(t.getAccount()), t.getWaiting()))
        .toList();
  }

  /** Requests in flight from peers to an endpoint. */
  public int inFlight(String endpoint, long nowMillis) {
    return recentHeartbeats(nowMillis)
        .flatMap(h -> h.getEndpoints().stream())
        .filter(e -> e.getEndpoint().equals(endpoint))
        .mapToInt(EndpointLoad::getInFlight)
        .sum();
  }

  /** Units of a team running at the accounts of peers. */
  public int running(String team, long nowMillis) {
    return recentHeartbeats(nowMillis)
        .flatMap(h -> h.getTeams().stream())
        .filter(t -> t.getTeam().equals(team))
        .mapToInt(TeamLoad::getRunning)
        .sum();
  }

  /** Load of a shard that a peer owns. */
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
