package io.cactusspring.daemon.work;

import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.placement.WorkerView;
import io.cactusspring.core.shard.ShardOwner;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.RunState;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.MonotonicClock;
import io.cactusspring.daemon.control.BudgetController;
import io.cactusspring.daemon.control.LogController;
import io.cactusspring.daemon.control.PeerLoads;
import io.cactusspring.daemon.control.PeerLogRelay;
import io.cactusspring.daemon.control.ShardController;
import io.cactusspring.daemon.http.CellView;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.stream.Stream;

/**
 * HTTP calls that report the status and health of this entry host.
 *
 * @since 0.1
 */
public final class StatusApi {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_QUEUE_ROWS = 500;

  private final Sources sources;

  /** Components from which the status is read. */
  public record Sources(
      String host,
      String incarnation,
      Cell cell,
      CellView view,
      LogController log,
      ShardController shards,
      BudgetController budgets,
      PeerLogRelay logRelay,
      PeerLoads peerLoads,
      MonotonicClock clock,
      LogAge logAge) {}

  /** Time since the log was last read to its end. */
  public interface LogAge {
    /** Age in milliseconds. */
    long millis();
  }

  record Status(
      String host,
      String zone,
      String incarnation,
      boolean ready,
      boolean draining,
      long revision,
      long nextOffset,
      boolean logReachable,
      long logAgeMillis,
      List<ShardId> ownedShards,
      List<PeerStatus> peers,
      List<WorkerStatus> workers,
      List<TeamStatus> teams,
      List<QueueRow> queue) {}

  record PeerStatus(String name, long revision, long nextOffset, long heardMillisAgo) {}

  record WorkerStatus(
      String name, ShardId shard, String state, Resources total, Resources committed, int tasks) {}

  record TeamStatus(
      String name, int share, int maxRunning, boolean open, int running, int budget, int waiting) {}

  record QueueRow(RunId run, String team, ShardId shard, String reason) {}

  record Health(String status) {}

  public StatusApi(Sources sources) {
    this.sources = sources;
  }

  /** {@code GET /v1/status}. */
  public void status(RoutingContext ctx) {
    JsonBodies.write(ctx, OK, sources.cell().read(this::status));
  }

  /** {@code GET /health/live}. */
  public void live(RoutingContext ctx) {
    JsonBodies.write(ctx, OK, new Health("live"));
  }

  /** {@code GET /health/ready}. */
  public void ready(RoutingContext ctx) {
    boolean ready = sources.view().ready() && !sources.view().draining();
    JsonBodies.write(ctx, ready ? OK : UNAVAILABLE, new Health(ready ? "ready" : "not ready"));
  }

  private Status status(ClusterState state) {
    List<ShardOwner> owners = sources.shards().owners();
    return new Status(
        sources.host(),
        sources.view().zone().name(),
        sources.incarnation(),
        sources.view().ready(),
        sources.view().draining(),
        state.configuration().revision(),
        sources.cell().nextOffset(),
        sources.log().directlyReachable(),
        sources.logAge().millis(),
        owners.stream().map(ShardOwner::shard).toList(),
        peers(),
        owners.stream().flatMap(StatusApi::workers).toList(),
        state.configuration().teams().stream().map(this::team).toList(),
        queueRows(state, owners));
  }

  private List<PeerStatus> peers() {
    long now = sources.clock().millis();
    return sources.logRelay().views().entrySet().stream()
        .map(
            e ->
                new PeerStatus(
                    e.getKey(),
                    e.getValue().revision(),
                    e.getValue().nextOffset(),
                    now - e.getValue().lastHeartbeatMillis()))
        .toList();
  }

  private static Stream<WorkerStatus> workers(ShardOwner owner) {
    return owner.placer().workers().stream().map(w -> worker(owner.shard(), w));
  }

  private static WorkerStatus worker(ShardId shard, WorkerView w) {
    return new WorkerStatus(w.name(), shard, w.state().name(), w.total(), w.committed(), w.tasks());
  }

  private TeamStatus team(ConfigItem.Team team) {
    List<BudgetController.AccountLoad> loads = sources.budgets().loads(team.name());
    int running = loads.stream().mapToInt(BudgetController.AccountLoad::running).sum();
    int waiting = loads.stream().mapToInt(BudgetController.AccountLoad::shortfall).sum();
    int elsewhere = sources.peerLoads().running(team.name(), sources.clock().millis());
    return new TeamStatus(
        team.name(),
        team.share(),
        team.maxRunning(),
        team.open(),
        running + elsewhere,
        sources.budgets().requestBudget(team.name()),
        waiting);
  }

  private static List<QueueRow> queueRows(ClusterState state, List<ShardOwner> owners) {
    return owners.stream().flatMap(o -> queueRows(state, o)).limit(MAX_QUEUE_ROWS).toList();
  }

  private static Stream<QueueRow> queueRows(ClusterState state, ShardOwner owner) {
    return state.liveRuns(owner.shard()).stream()
        .filter(r -> r.state() == RunState.PENDING)
        .map(r -> new QueueRow(r.run(), r.team(), owner.shard(), WaitReasons.of(owner, r)));
  }
}
