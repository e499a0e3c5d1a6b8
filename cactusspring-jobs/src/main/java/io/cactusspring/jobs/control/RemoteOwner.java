package io.cactusspring.jobs.control;

import io.cactusspring.jobs.link.PeerMessage;
import io.cactusspring.jobs.model.JobReference;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.vertx.core.Future;
import java.util.Optional;

/** Requests to the owner on another host. */
final class RemoteOwner implements OwnerRequests {
  private final PeerCalls calls;

  RemoteOwner(PeerCalls calls) {
    this.calls = calls;
  }

  @Override
  public Future<VerdictReason> submit(JobSpec spec, long timeoutMillis) {
    return calls
        .call(id -> new PeerMessage.Submit(id, spec), PeerMessage.Verdict.class, timeoutMillis)
        .map(v -> new VerdictReason(v.kind(), v.reason(), v.retryAfterMillis()));
  }

  @Override
  public Future<VerdictReason> cancel(JobReference job, long timeoutMillis) {
    return calls
        .call(id -> new PeerMessage.Cancel(id, job), PeerMessage.Verdict.class, timeoutMillis)
        .map(v -> new VerdictReason(v.kind(), v.reason(), v.retryAfterMillis()));
  }

  @Override
  public Future<Optional<JobState>> state(JobReference job, long timeoutMillis) {
    return calls
        .call(id -> new PeerMessage.GetState(id, job), PeerMessage.StateReply.class, timeoutMillis)
        .map(PeerMessage.StateReply::state);
  }

  @Override
  public Future<Long> countUnstarted(String queue, long timeoutMillis) {
    return calls
        .call(
            id -> new PeerMessage.CountWaiting(id, queue),
            PeerMessage.CountReply.class,
            timeoutMillis)
        .map(PeerMessage.CountReply::jobs);
  }
}
