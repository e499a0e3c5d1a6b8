package io.cactusspring.daemon;

import io.cactusspring.core.membership.Authority;
import io.cactusspring.core.shard.ShardOwner;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.control.LogController;
import io.cactusspring.daemon.control.PeerLogRelay;
import io.cactusspring.daemon.control.ShardController;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Gauges of the state of this entry host. */
final class Gauges {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final MeterRegistry registry;
  private final Cell cell;
  private final LogController log;
  private final ShardController shards;
  private final PeerLogRelay logRelay;
  private final List<String> peerNames;
  private final MonotonicClock clock;
  private final Authority authority;

  Gauges(
      MeterRegistry registry,
      Cell cell,
      LogController log,
      ShardController shards,
      PeerLogRelay logRelay,
      List<String> peerNames,
      MonotonicClock clock,
      Authority authority) {
    this.registry = registry;
    this.cell = cell;
    this.log = log;
    this.shards = shards;
    this.logRelay = logRelay;
    this.peerNames = List.copyOf(peerNames);
    this.clock = clock;
    this.authority = authority;
  }

  void register() {
    gauge("cactusspring.config.revision", g -> cell.configuration().revision());
    gauge("cactusspring.log.next.offset", g -> cell.nextOffset());
    gauge("cactusspring.log.reachable", g -> log.directlyReachable() ? 1 : 0);
    gauge("cactusspring.log.age.seconds", g -> logAgeMillis() / MILLIS_PER_SECOND);
    gauge("cactusspring.shards.owned", g -> shards.owners().size());
    gauge("cactusspring.runs.waiting", g -> waitingRuns());
    peerNames.forEach(this::peerGauge);
  }

  /** Registers the time since a peer's last heartbeat; the value is NaN before the first one. */
  private void peerGauge(String peer) {
    registry.gauge(
        "cactusspring.peer.age.seconds", Tags.of("peer", peer), this, g -> g.peerAgeSeconds(peer));
  }

  private double peerAgeSeconds(String peer) {
    PeerLogRelay.View view = logRelay.views().get(peer);
    return view == null
        ? Double.NaN
        : (clock.millis() - view.lastHeartbeatMillis()) / MILLIS_PER_SECOND;
  }

  private void gauge(String name, ToDoubleFunction<Gauges> value) {
    registry.gauge(name, this, value);
  }

  private double logAgeMillis() {
    return cell.locked(() -> authority.logAgeMillis(clock.millis()));
  }

  private double waitingRuns() {
    return cell.locked(
        () -> shards.owners().stream().mapToInt((ShardOwner o) -> o.placer().waitingRuns()).sum());
  }
}
