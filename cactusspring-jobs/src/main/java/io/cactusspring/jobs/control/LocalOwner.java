package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.JobReference;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.port.PeerException;
import io.cactusspring.jobs.port.Timers;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;

/** Requests to the owner on this host. */
final class LocalOwner implements OwnerRequests {
  private final OwnerController controller;
  private final Timers timers;

  LocalOwner(OwnerController controller, Timers timers) {
    this.controller = controller;
    this.timers = timers;
  }

  @Override
  public Future<VerdictReason> submit(JobSpec spec, long timeoutMillis) {
    return limited(controller.submit(spec), timeoutMillis);
  }

  @Override
  public Future<VerdictReason> cancel(JobReference job, long timeoutMillis) {
    return limited(controller.cancel(job), timeoutMillis);
  }

  @Override
  public Future<Optional<JobState>> state(JobReference job, long timeoutMillis) {
    return limited(controller.state(job), timeoutMillis);
  }

  @Override
  public Future<Long> countUnstarted(String queue, long timeoutMillis) {
    return Future.succeededFuture(controller.countUnstarted(queue));
  }

  private <T> Future<T> limited(Future<T> answer, long timeoutMillis) {
    Promise<T> promise = Promise.promise();
    answer.onComplete(promise::tryComplete, promise::tryFail);
    timers.after(
        timeoutMillis,
        () -> promise.tryFail(new PeerException(true, "no answer in " + timeoutMillis + " ms")));
    return promise.future();
  }
}
