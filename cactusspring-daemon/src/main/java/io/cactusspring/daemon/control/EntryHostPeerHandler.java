package io.cactusspring.daemon.control;

import io.cactusspring.core.membership.Authority;
import io.cactusspring.core.membership.ClaimPolicy;
import io.cactusspring.core.membership.PeerTable;
import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.peers.PeerHandler;
import io.cactusspring.protocol.gen.AppendReply;
import io.cactusspring.protocol.gen.AppendRequest;
import io.cactusspring.protocol.gen.EndpointLoad;
import io.cactusspring.protocol.gen.Heartbeat;
import io.cactusspring.protocol.gen.OffsetRecord;
import io.cactusspring.protocol.gen.RecordsReply;
import io.cactusspring.protocol.gen.RecordsRequest;
import io.cactusspring.protocol.gen.TeamLoad;
import io.vertx.core.Future;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Handles peers' messages with the controllers of this entry host. Runs on the control context.
 *
 * @since 0.1
 */
public final class EntryHostPeerHandler implements PeerHandler {
  /** One of this many heartbeats carries the loads of this host. */
  private static final int HEARTBEATS_PER_LOAD_REPORT = 4;

  private static final int MAX_RECORDS = 2_000;

  /** Cap on the log age sent to peers, which keeps their arithmetic on it from overflowing. */
  private static final long LOG_AGE_CAP_MILLIS = 1L << 40;

  private final Cell cell;
  private final MonotonicClock clock;
  private final AvailabilityZone zone;
  private final PeerTable peers;
  private final Authority authority;
  private final ClaimPolicy claims;
  private final LogController log;
  private final ShardController shards;
  private final BudgetController budgets;
  private final Supplier<List<EndpointLoad>> endpointLoads;
  private final PeerLogRelay logRelay;
  private final PeerLoads peerLoads;
  private long heartbeatsBuilt;
  private volatile boolean draining;

  /** Collaborators of the handler. */
  public record Dependencies(
      Cell cell,
      MonotonicClock clock,
      AvailabilityZone zone,
      PeerTable peers,
      Authority authority,
      ClaimPolicy claims,
      LogController log,
      ShardController shards,
      BudgetController budgets,
      Supplier<List<EndpointLoad>> endpointLoads,
      PeerLogRelay logRelay,
      PeerLoads peerLoads) {}

  public EntryHostPeerHandler(Dependencies dependencies) {
    this.cell = dependencies.cell();
    this.clock = dependencies.clock();
    this.zone = dependencies.zone();
    this.peers = dependencies.peers();
    this.authority = dependencies.authority();
    this.claims = dependencies.claims();
    this.log = dependencies.log();
    this.shards = dependencies.shards();
    this.budgets = dependencies.budgets();
    this.endpointLoads = dependencies.endpointLoads();
    this.logRelay = dependencies.logRelay();
    this.peerLoads = dependencies.peerLoads();
  }

  /** Marks this host as draining in all later heartbeats. */
  public void drain() {
    draining = true;
  }

  @Override
  public Heartbeat heartbeat() {
    boolean withLoads = heartbeatsBuilt++ % HEARTBEATS_PER_LOAD_REPORT == 0;
    Heartbeat h = new Heartbeat();
    h.setNextOffset(cell.nextOffset());
    h.setLogAgeMillis(logAgeMillis());
    h.setDraining(draining);
    h.setConfigRevision(cell.configuration().revision());
    h.setTeams(List.of());
    h.setShards(List.of());
    h.setEndpoints(List.of());
    if (withLoads) {
      addLoads(h);
    }
    return h;
  }

  @Override
  public boolean onHeartbeat(
      String peer, String incarnation, Heartbeat heartbeat, long acknowledgedSentAtMillis) {
    long now = clock.millis();
    logRelay.onHeartbeat(peer, heartbeat, now);
    if (heartbeat.getTeamsSize() + heartbeat.getShardsSize() + heartbeat.getEndpointsSize() > 0) {
      peerLoads.onHeartbeat(peer, heartbeat, now);
    }
    return cell.locked(
        () -> {
          peers.recordHeartbeat(
              peer, incarnation, heartbeat.getNextOffset(), heartbeat.isDraining(), now);
          if (heartbeat.isPromise() && acknowledgedSentAtMillis >= 0 && inZone(peer)) {
            authority.recordPromise(peer, acknowledgedSentAtMillis);
          }
          return log.caughtUp() && claims.mayPromise(heartbeat.getNextOffset());
        });
  }

  @Override
  public RecordsReply records(RecordsRequest request) {
    RecordsReply reply = new RecordsReply();
    reply.setId(request.getId());
    long from = request.getFromOffset();
    var retained = cell.recordsFrom(from, MAX_RECORDS);
    if (retained.isEmpty()) {
      Cell.Snapshot snapshot = cell.snapshot();
      reply.setSnapshot(snapshot.data());
      reply.setSnapshotNextOffset(snapshot.nextOffset());
    }
    reply.setRecords(
        retained.orElse(List.of()).stream()
            .map(e -> new OffsetRecord(e.offset(), e.data()))
            .toList());
    reply.setLogAgeMillis(logAgeMillis());
    reply.setNextOffset(cell.nextOffset());
    return reply;
  }

  @Override
  public Future<AppendReply> append(AppendRequest request) {
    return log.appendForPeer(request.getRecords())
        .map(x -> new AppendReply(request.getId(), true))
        .otherwise(new AppendReply(request.getId(), false));
  }

  private long logAgeMillis() {
    long age = cell.locked(() -> authority.logAgeMillis(clock.millis()));
    return Math.min(age, LOG_AGE_CAP_MILLIS);
  }

  private boolean inZone(String peer) {
    return peers.peer(peer).map(p -> p.zone().equals(zone)).orElse(false);
  }

  private void addLoads(Heartbeat heartbeat) {
    heartbeat.setTeams(
        cell.configuration().teams().stream()
            .map(ConfigItem.Team::name)
            .flatMap(this::teamLoads)
            .toList());
    heartbeat.setShards(cell.locked(() -> shards.owners().stream().map(ShardLoads::of).toList()));
    heartbeat.setEndpoints(endpointLoads.get());
  }

  private Stream<TeamLoad> teamLoads(String team) {
    return budgets.loads(team).stream()
        .filter(l -> l.running() + l.shortfall() > 0)
        .map(l -> new TeamLoad(team, l.account().id(), l.running(), l.shortfall()));
  }
}
