package io.cactusspring.daemon.control;

import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.peers.PeerMesh;
import io.cactusspring.protocol.gen.AppendReply;
import io.cactusspring.protocol.gen.Heartbeat;
import io.cactusspring.protocol.gen.RecordsReply;
import io.vertx.core.Future;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tracks what peers report about their replay of the log, and relays reads and appends through
 * them.
 *
 * @since 0.1
 */
public final class PeerLogRelay implements LogRelay {
  /** A peer whose last read of the log is older than this gets no append requests. */
  private static final long MAX_LOG_AGE_MILLIS = 2_500;

  /** A peer whose last heartbeat is older than this gets no requests. */
  private static final long MAX_HEARTBEAT_AGE_MILLIS = 1_500;

  private final MonotonicClock clock;
  private final Map<String, View> views = new ConcurrentHashMap<>();
  private PeerMesh mesh;

  /** State of the log as a peer last reported it. */
  public record View(long nextOffset, long logAgeMillis, long revision, long lastHeartbeatMillis) {}

  public PeerLogRelay(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Sets the connections to the peers. */
  public void setMesh(PeerMesh peerMesh) {
    mesh = peerMesh;
  }

  /** Stores the state of the log that a heartbeat reports. */
  public void onHeartbeat(String peer, Heartbeat heartbeat, long nowMillis) {
    views.put(
        peer,
        new View(
            heartbeat.getNextOffset(),
            heartbeat.getLogAgeMillis(),
            heartbeat.getConfigRevision(),
            nowMillis));
  }

  /** Returns the last report of each peer, by the name of the peer. */
  public Map<String, View> views() {
    return new TreeMap<>(views);
  }

  @Override
  public boolean available() {
    return peerWithFreshestLog().isPresent();
  }

  @Override
  public Future<RecordsReply> records(long fromOffset) {
    Optional<String> mostAdvanced =
        recentViews()
            .max(Comparator.comparingLong(e -> e.getValue().nextOffset()))
            .map(Map.Entry::getKey);
    return mostAdvanced
        .map(p -> mesh.records(p, fromOffset))
        .orElseGet(() -> Future.failedFuture("no peer sent a heartbeat recently"));
  }

  @Override
  public Future<Void> append(List<String> records) {
    return peerWithFreshestLog()
        .map(p -> mesh.append(p, records))
        .orElseGet(() -> Future.failedFuture("no peer has read the log recently"))
        .compose(PeerLogRelay::checkAppended);
  }

  private static Future<Void> checkAppended(AppendReply reply) {
    return reply.isAppended()
        ? Future.succeededFuture()
        : Future.failedFuture("the peer got no acknowledgement from the log");
  }

  private Optional<String> peerWithFreshestLog() {
    return recentViews()
        .filter(e -> e.getValue().logAgeMillis() <= MAX_LOG_AGE_MILLIS)
        .min(Comparator.comparingLong(e -> e.getValue().logAgeMillis()))
        .map(Map.Entry::getKey);
  }

  private java.util.stream.Stream<Map.Entry<String, View>> recentViews() {
    long now = clock.millis();
    return views.entrySet().stream()
        .filter(e -> now - e.getValue().lastHeartbeatMillis() <= MAX_HEARTBEAT_AGE_MILLIS);
  }
}
