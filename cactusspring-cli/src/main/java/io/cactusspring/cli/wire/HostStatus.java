package io.cactusspring.cli.wire;

import io.cactusspring.core.model.Resources;
import java.util.List;

/**
 * What one entry host knows.
 *
 * @param logAgeMillis age of what was last heard of the platform's log
 * @since 0.1
 */
public record HostStatus(
    String host,
    String zone,
    String incarnation,
    boolean ready,
    long revision,
    long nextOffset,
    long logAgeMillis,
    List<String> ownedShards,
    List<Peer> peers,
    List<Worker> workers,
    List<Team> teams,
    List<Waiting> queue) {
  public HostStatus {
    ownedShards = orEmpty(ownedShards);
    peers = orEmpty(peers);
    workers = orEmpty(workers);
    teams = orEmpty(teams);
    queue = orEmpty(queue);
  }

  /** Another entry host as this one last heard it. */
  public record Peer(String name, long revision, long heardMillisAgo) {}

  /** A worker of a shard that this host owns. */
  public record Worker(
      String name, String shard, String state, Resources total, Resources committed, int tasks) {}

  /** A team on this host. */
  public record Team(
      String name, int share, int maxRunning, int running, int budget, int waiting) {}

  /** A run that waits and why. */
  public record Waiting(String run, String team, String reason) {}

  private static <T> List<T> orEmpty(List<T> list) {
    return list == null ? List.of() : List.copyOf(list);
  }
}
