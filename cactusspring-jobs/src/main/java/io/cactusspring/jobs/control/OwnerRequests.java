package io.cactusspring.jobs.control;

import io.cactusspring.jobs.model.JobReference;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.vertx.core.Future;
import java.util.Optional;

/**
 * The requests that the owner of the executors answers, on this host or on another one. A failed
 * future carries a {@link io.cactusspring.jobs.port.PeerException}.
 */
interface OwnerRequests {
  /** Submits a job; completes when the submission is stored or cannot be. */
  Future<VerdictReason> submit(JobSpec spec, long timeoutMillis);

  /** Cancels a job; completes when that is stored. */
  Future<VerdictReason> cancel(JobReference job, long timeoutMillis);

  /** Returns the stored state of a job; empty if the owner does not know the job. */
  Future<Optional<JobState>> state(JobReference job, long timeoutMillis);

  /** Returns the number of stored jobs of a queue that have not begun. */
  Future<Long> countUnstarted(String queue, long timeoutMillis);
}
