package io.cactusspring.daemon.platform;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.shard.OwnerCommand;
import io.cactusspring.core.shard.StartResult;
import io.cactusspring.core.shard.WorkerReport;
import io.vertx.core.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * Calls worker agents over HTTP.
 *
 * @since 0.1
 */
public final class HttpWorkerAgent implements WorkerAgent {
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int SERVER_ERROR = 500;

  private final JsonClient client;
  private final long leaseMillis;
  private final long timeoutMillis;
  private final AtomicLong syncCount = new AtomicLong();

  private record StartBody(
      long epoch,
      TaskId task,
      long leaseMillis,
      Resources resources,
      long expectedMillis,
      String payload) {}

  private record SyncBody(
      long epoch,
      List<TaskId> renew,
      long leaseMillis,
      List<TaskId> stop,
      List<TaskId> checkpoint,
      List<TaskId> forget,
      List<TaskId> throttle,
      boolean full) {}

  private record SyncResponseBody(
      String incarnation,
      List<WorkerReport.Running> running,
      List<WorkerReport.Ended> ended,
      List<TaskId> missing) {}

  /** Creates the adapter. Each call that has received no response fails after the timeout. */
  public HttpWorkerAgent(JsonClient client, long leaseMillis, long timeoutMillis) {
    this.client = client;
    this.leaseMillis = leaseMillis;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public Future<StartResult> start(String address, long epoch, OwnerCommand.Start start) {
    StartBody body =
        new StartBody(
            epoch,
            start.task(),
            leaseMillis,
            start.spec().resources(),
            start.spec().expectedMillis(),
            start.spec().payload());
    return client
        .post(address, "/tasks", body, timeoutMillis)
        .map(HttpWorkerAgent::startResult)
        .otherwise(StartResult.UNKNOWN);
  }

  private static StartResult startResult(JsonClient.Response response) {
    return switch (response.status()) {
      case OK -> StartResult.STARTED;
      case CONFLICT -> StartResult.FENCED;
      case SERVER_ERROR -> StartResult.NOT_RUN;
      default -> StartResult.UNKNOWN;
    };
  }

  @Override
  public Future<SyncResult> sync(String address, long epoch, OwnerCommand.Sync sync) {
    boolean full = syncCount.getAndIncrement() % WorkerReport.SYNCS_PER_FULL_LIST == 0;
    SyncBody body =
        new SyncBody(
            epoch,
            sync.renew(),
            leaseMillis,
            sync.stop(),
            sync.checkpoint(),
            sync.forget(),
            List.of(),
            full);
    return client
        .post(address, "/sync", body, timeoutMillis)
        .map(a -> syncResult(a, full ? List.of() : sync.renew()))
        .otherwise(new SyncResult.Failed());
  }

  private SyncResult syncResult(JsonClient.Response response, List<TaskId> omittable) {
    if (response.status() == CONFLICT) {
      return new SyncResult.Fenced();
    }
    if (response.status() != OK) {
      return new SyncResult.Failed();
    }
    try {
      SyncResponseBody body = client.decode(response.body(), SyncResponseBody.class);
      return new SyncResult.Reported(report(body, omittable));
    } catch (PlatformException e) {
      return new SyncResult.Failed();
    }
  }

  /**
   * Builds the report of a sync. The short form of a response omits renewed tasks that are running
   * and lists only those that are missing, so the omitted tasks are added as running.
   *
   * @param omittable renewed tasks that the response may omit; empty if the full list was requested
   * @throws PlatformException if the short form has no list of missing tasks
   */
  private static WorkerReport report(SyncResponseBody body, List<TaskId> omittable)
      throws PlatformException {
    if (!omittable.isEmpty() && body.missing() == null) {
      throw new PlatformException("sync response has no \"missing\"; expected a list of tasks");
    }
    Set<TaskId> listed = new HashSet<>(omittable.isEmpty() ? List.of() : body.missing());
    body.running().forEach(r -> listed.add(r.task()));
    Stream<WorkerReport.Running> omitted =
        omittable.stream()
            .filter(t -> !listed.contains(t))
            .map(t -> new WorkerReport.Running(t, null, null));
    return new WorkerReport(
        body.incarnation(), Stream.concat(body.running().stream(), omitted).toList(), body.ended());
  }
}
