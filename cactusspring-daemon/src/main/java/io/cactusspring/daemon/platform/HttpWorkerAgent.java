package io.cactusspring.daemon.platform;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.shard.OwnerCommand;
import io.cactusspring.core.shard.StartAnswer;
import io.cactusspring.core.shard.WorkerReport;
import io.vertx.core.Future;
import java.util.List;

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

  /** Creates the adapter; a call without an answer fails after the timeout. */
  public HttpWorkerAgent(JsonClient client, long leaseMillis, long timeoutMillis) {
    this.client = client;
    this.leaseMillis = leaseMillis;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public Future<StartAnswer> start(String address, long epoch, OwnerCommand.Start start) {
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
        .otherwise(StartAnswer.UNKNOWN);
  }

  private static StartAnswer startAnswer(JsonClient.Answer answer) {
    return switch (answer.status()) {
      case OK -> StartAnswer.STARTED;
      case CONFLICT -> StartAnswer.FENCED;
      case SERVER_ERROR -> StartAnswer.NOT_RUN;
      default -> StartAnswer.UNKNOWN;
    };
  }

  @Override
  public Future<SyncAnswer> sync(String address, long epoch, OwnerCommand.Sync sync) {
    SyncBody body =
        new SyncBody(
            epoch,
            sync.renew(),
            leaseMillis,
            sync.stop(),
            sync.checkpoint(),
            sync.forget(),
            List.of(),
            true);
    return client
        .post(address, "/sync", body, timeoutMillis)
        .map(this::syncAnswer)
        .otherwise(new SyncAnswer.Failed());
  }

  private SyncAnswer syncAnswer(JsonClient.Answer answer) {
    if (answer.status() == CONFLICT) {
      return new SyncAnswer.Fenced();
    }
    if (answer.status() != OK) {
      return new SyncAnswer.Failed();
    }
    try {
      return new SyncAnswer.Reported(client.decode(answer.body(), WorkerReport.class));
    } catch (PlatformException e) {
      return new SyncAnswer.Failed();
    }
  }
}
