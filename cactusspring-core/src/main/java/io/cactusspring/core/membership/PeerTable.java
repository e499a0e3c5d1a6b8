package io.cactusspring.core.membership;

import io.cactusspring.core.model.AvailabilityZone;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Last heartbeat of each other entry host, and the state that it reported. Not thread-safe.
 *
 * @since 0.1
 */
public final class PeerTable {
  private final Map<String, Peer> peers = new TreeMap<>();
  private final long startedAtMillis;

  /**
   * @param startedAtMillis start of this process; counts as the last heartbeat of a peer that has
   *     sent none
   */
  public PeerTable(long startedAtMillis) {
    this.startedAtMillis = startedAtMillis;
  }

  /** Adds a peer from the settings. */
  public void add(String name, AvailabilityZone zone) {
    peers.put(name, new Peer(name, zone, Optional.empty(), startedAtMillis, 0, false));
  }

  /** Records a heartbeat; ignores hosts that were not added. */
  public void recordHeartbeat(
      String name, String incarnation, long nextOffset, boolean draining, long nowMillis) {
    peers.computeIfPresent(
        name,
        (n, p) -> new Peer(n, p.zone(), Optional.of(incarnation), nowMillis, nextOffset, draining));
  }

  /**
   * Restarts the measurement of every peer's silence after a pause of this process: heartbeats
   * could not be received during the pause, so their absence does not show that a peer is down.
   */
  public void resetSilence(long nowMillis) {
    peers.replaceAll(
        (n, p) -> new Peer(n, p.zone(), p.incarnation(), nowMillis, p.nextOffset(), p.draining()));
  }

  public Optional<Peer> peer(String name) {
    return Optional.ofNullable(peers.get(name));
  }

  public Collection<Peer> peers() {
    return peers.values();
  }

  /**
   * Another entry host.
   *
   * @param incarnation id of the peer's current process; empty before its first heartbeat
   * @param lastHeartbeatMillis time of the last heartbeat, or the time from which silence is
   *     measured
   * @param nextOffset first log offset that the peer had not applied
   * @param draining whether the peer is shutting down, so that its shards may be claimed
   */
  public record Peer(
      String name,
      AvailabilityZone zone,
      Optional<String> incarnation,
      long lastHeartbeatMillis,
      long nextOffset,
      boolean draining) {}
}
