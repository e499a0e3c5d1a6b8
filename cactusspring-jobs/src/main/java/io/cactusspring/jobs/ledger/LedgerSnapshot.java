package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The jobs in the store, combined from the newest records of all partitions.
 *
 * <p>The owner writes submissions and progress to a few partitions, the lanes; other hosts write
 * submissions and cancellations to the partitions of the inbox. Records may be applied in any
 * order.
 *
 * @since 0.2
 */
public final class LedgerSnapshot {
  private final Map<String, JobEntry> jobs = new LinkedHashMap<>();

  /** Applies a record of a lane; unknown keys and records that cannot be decoded are ignored. */
  public void applyLane(int lane, Entry entry) {
    if (entry.value() == null) {
      return;
    }
    jobOfProgress(entry)
        .ifPresent(
            id ->
                LedgerCodec.readProgress(entry)
                    .ifPresent(p -> findOrCreate(id).applyProgress(p, lane)));
    LedgerCodec.submission(entry)
        .ifPresent(spec -> submitted(spec).locations().submissionInLane(lane));
  }

  /** Applies a record of the inbox; unknown keys and unreadable records are ignored. */
  public void applyInbox(Entry entry) {
    if (entry.value() == null) {
      return;
    }
    LedgerCodec.submission(entry)
        .ifPresent(spec -> submitted(spec).locations().inboxSubmission(true));
    LedgerCodec.cancelledJob(entry)
        .ifPresent(
            id -> {
              JobEntry job = findOrCreate(id);
              job.applyCancellation();
              job.locations().inboxCancellation(true);
            });
  }

  private static Optional<String> jobOfProgress(Entry entry) {
    return entry.key().startsWith(LedgerCodec.PROGRESS_PREFIX)
        ? Optional.of(entry.key().substring(LedgerCodec.PROGRESS_PREFIX.length()))
        : Optional.empty();
  }

  private JobEntry submitted(JobSpec spec) {
    JobEntry job = findOrCreate(spec.id());
    job.applySubmission(spec);
    return job;
  }

  private JobEntry findOrCreate(String id) {
    return jobs.computeIfAbsent(id, JobEntry::new);
  }

  /** Returns a job; empty if it does not exist. */
  public Optional<JobEntry> job(String id) {
    return Optional.ofNullable(jobs.get(id)).filter(JobEntry::exists);
  }

  /** Returns all jobs of which a record was applied, also if the submission was not. */
  public Collection<JobEntry> jobs() {
    return jobs.values();
  }

  /** Returns the number of jobs of a queue that are not final and have no started task. */
  public long countUnstarted(String queue) {
    return jobs.values().stream()
        .filter(j -> j.spec().map(s -> s.queue().name().equals(queue)).orElse(false))
        .filter(JobEntry::isUnstarted)
        .count();
  }
}
