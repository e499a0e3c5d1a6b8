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
 * Worker agents over HTTP.
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
  private final AtomicLong syncs = new AtomicLong();

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

  private record AnswerBody(
      String incarnation,
      List<WorkerReport.Running> running,
      List<WorkerReport.Ended> ended,
      List<TaskId> missing) {}

  /** Creates the adapter; a call without an answer fails after the timeout. */
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
        .map(HttpWorkerAgent::startAnswer)
        .otherwise(StartResult.UNKNOWN);
  }

  private static StartResult startAnswer(JsonClient.Answer answer) {
    return switch (answer.status()) {
      case OK -> StartResult.STARTED;
      case CONFLICT -> StartResult.FENCED;
      case SERVER_ERROR -> StartResult.NOT_RUN;
      default -> StartResult.UNKNOWN;
    };
  }

  @Override
  public Future<SyncAnswer> sync(String address, long epoch, OwnerCommand.Sync sync) {
    boolean full = syncs.getAndIncrement() % WorkerReport.SYNCS_PER_FULL_LIST == 0;
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
        .map(a -> syncAnswer(a, full ? List.of() : sync.renew()))
        .otherwise(new SyncAnswer.Failed());
  }

  private SyncAnswer syncAnswer(JsonClient.Answer answer, List<TaskId> unlisted) {
    if (answer.status() == CONFLICT) {
      return new SyncAnswer.Fenced();
    }
    if (answer.status() != OK) {
      return new SyncAnswer.Failed();
    }
    try {
      AnswerBody body = client.decode(answer.body(), AnswerBody.class);
      return new SyncAnswer.Reported(report(body, unlisted));
    } catch (PlatformException e) {
      return new SyncAnswer.Failed();
    }
  }

  /**
   * Adds the tasks that the short form of the answer names only when they are missing.
   *
   * @throws PlatformException if the short form does not say which are missing
   */
  private static WorkerReport report(AnswerBody body, List<TaskId> unlisted)
      throws PlatformException {
    if (!unlisted.isEmpty() && body.missing() == null) {
      throw new PlatformException("answer to a sync has no \"missing\"; expected a list of tasks");
    }
    Set<TaskId> named = new HashSet<>(unlisted.isEmpty() ? List.of() : body.missing());
    body.running().forEach(r -> named.add(r.task()));
    Stream<WorkerReport.Running> unnamed =
        unlisted.stream()
            .filter(t -> !named.contains(t))
            .map(t -> new WorkerReport.Running(t, null, null));
    return new WorkerReport(
        body.incarnation(), Stream.concat(body.running().stream(), unnamed).toList(), body.ended());
  }
}
