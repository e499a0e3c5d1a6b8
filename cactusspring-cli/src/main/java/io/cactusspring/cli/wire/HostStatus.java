package io.cactusspring.cli.wire;

import io.cactusspring.core.model.Resources;
import java.util.List;

/**
 * State that one entry host reports.
 *
 * @param logAgeMillis age of the last information from the platform's log, in milliseconds
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

  /** Another entry host, as it last reported to this one. */
  public record Peer(String name, long revision, long heardMillisAgo) {}

  /** A worker of a shard that this host owns. */
  public record Worker(
      String name, String shard, String state, Resources total, Resources committed, int tasks) {}

  /** A team with its limits and the number of its runs on this host. */
  public record Team(
      String name, int share, int maxRunning, int running, int budget, int waiting) {}

  /** A waiting run and the reason. */
  public record Waiting(String run, String team, String reason) {}

  private static <T> List<T> orEmpty(List<T> list) {
    return list == null ? List.of() : List.copyOf(list);
  }
}
