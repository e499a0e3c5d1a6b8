package io.cactusspring.core.membership;

import io.cactusspring.core.model.AvailabilityZone;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * When each other entry host was last heard, and what it said of itself. Not thread-safe.
 *
 * @since 0.1
 */
public final class PeerTable {
  private final Map<String, Peer> peers = new TreeMap<>();
  private final long startedAtMillis;

  /**
   * @param startedAtMillis start of this process; a peer never heard counts as heard then
   */
  public PeerTable(long startedAtMillis) {
    this.startedAtMillis = startedAtMillis;
  }

  /** Adds a peer known from the settings. */
  public void add(String name, AvailabilityZone zone) {
    peers.put(name, new Peer(name, zone, Optional.empty(), startedAtMillis, 0, false));
  }

  /** Notes a heartbeat. */
  public void heard(
      String name, String incarnation, long nextOffset, boolean draining, long nowMillis) {
    peers.computeIfPresent(
        name,
        (n, p) -> new Peer(n, p.zone(), Optional.of(incarnation), nowMillis, nextOffset, draining));
  }

  /**
   * Notes that this process did not run for a while: peers could not be heard, so their silence
   * tells nothing, and counts from now.
   */
  public void resumed(long nowMillis) {
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
   * @param incarnation id of its process start; empty if never heard
   * @param heardAtMillis when it was last heard, or the start of this process
   * @param nextOffset first offset of the log that it had not applied
   */
  public record Peer(
      String name,
      AvailabilityZone zone,
      Optional<String> incarnation,
      long heardAtMillis,
      long nextOffset,
      boolean draining) {}
}
