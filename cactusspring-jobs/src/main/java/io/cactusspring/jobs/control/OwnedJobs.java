package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.RecordLocations;
import io.cactusspring.jobs.model.JobReference;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.jobs.port.PeerException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The jobs as the ledger holds them, kept by the owner: which submissions are stored, which states
 * callers may be shown, and which records can be deleted.
 */
final class OwnedJobs {
  // Callers are guaranteed two minutes.
  private static final long RETENTION_MILLIS = 180_000;

  // A host may store a cancellation shortly before the submission that it has seen elsewhere.
  private static final long STRAY_RETENTION_MILLIS = 60_000;

  // An order to start a task may be carried out 12 s late; its resources are then looked up here.
  private static final long SPEC_RETENTION_MILLIS = 15_000;

  private static final class Job {
    private final String id;
    private final JobEntry.Ownership ownership;
    private final RecordLocations locations;
    private final Promise<Void> submission = Promise.promise();
    private final Promise<Void> end = Promise.promise();
    private JobSpec spec;
    private JobState state = JobState.PENDING;

    /** Version of the newest record of this term; 0 before the first one. */
    private long version;

    private long finalSince = Long.MAX_VALUE;

    Job(String id, JobEntry.Ownership ownership, RecordLocations locations) {
      this.id = id;
      this.ownership = ownership;
      this.locations = locations;
    }
  }

  private final LaneWriter lanes;
  private final InboxWriter inbox;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<String, JobSpec> unsent = new LinkedHashMap<>();
  private final Map<String, Set<String>> unstartedByQueue = new HashMap<>();
  private final Set<Job> ended = new HashSet<>();
  private final Map<String, Long> strayCancellations = new HashMap<>();

  OwnedJobs(LaneWriter lanes, InboxWriter inbox) {
    this.lanes = lanes;
    this.inbox = inbox;
  }

  /** Adds a job that was read from the ledger. */
  void restore(JobEntry entry, long now) {
    Optional<JobEntry.Ownership> ownership = entry.ownership();
    if (ownership.isEmpty()) {
      restoreStray(entry, now);
      return;
    }
    Job job = new Job(entry.id(), ownership.get(), entry.locations());
    job.spec = entry.spec().orElse(null);
    job.submission.complete();
    jobs.put(job.id, job);
    entry
        .progress()
        .ifPresentOrElse(p -> applyProgress(job, p, now), () -> unstarted(job).add(job.id));
  }

  /** Deletes the records of a job whose submission was never stored, so that nothing has run. */
  private void restoreStray(JobEntry entry, long now) {
    if (entry.cancelled()) {
      strayCancellations.put(entry.id(), now);
    }
    for (int lane = 0; lane < lanes.count(); lane++) {
      if (entry.locations().hasProgressInLane(lane)) {
        lanes.delete(lane, LedgerCodec.progressTombstone(entry.id()), () -> {});
      }
    }
  }

  private Set<String> unstarted(Job job) {
    return unstartedByQueue.computeIfAbsent(job.ownership.queue(), q -> new HashSet<>());
  }

  private void applyProgress(Job job, JobProgress progress, long now) {
    job.state = progress.state();
    if (progress.state().isFinal()) {
      job.finalSince = now;
      ended.add(job);
      job.end.tryComplete();
    }
    if (progress.started() || progress.state().isFinal()) {
      unstarted(job).remove(job.id);
    } else {
      unstarted(job).add(job.id);
    }
  }

  /** Returns whether a job is known. */
  boolean contains(String id) {
    return jobs.containsKey(id);
  }

  /** Returns whether a known job was submitted with the same content. */
  boolean isSameSubmission(JobSpec spec) {
    Job job = jobs.get(spec.id());
    boolean sameOwnership =
        job.ownership.queue().equals(spec.queue().name())
            && job.ownership.organisation().equals(spec.organisation());
    return sameOwnership && (job.spec == null || job.spec.hasSameContent(spec));
  }

  /** Adds a submission that is to be stored. */
  void add(JobSpec spec) {
    unsent.put(spec.id(), spec);
    newJob(spec, new RecordLocations());
  }

  /** Adds a submission that the inbox holds. */
  void addStored(JobSpec spec) {
    RecordLocations locations = new RecordLocations();
    locations.inboxSubmission(true);
    Job job = newJob(spec, locations);
    job.submission.complete();
    unstarted(job).add(job.id);
  }

  private Job newJob(JobSpec spec, RecordLocations locations) {
    JobEntry.Ownership ownership = new JobEntry.Ownership(spec.queue().name(), spec.organisation());
    Job job = new Job(spec.id(), ownership, locations);
    job.spec = spec;
    jobs.put(job.id, job);
    return job;
  }

  /** Records that the inbox holds the submission of a known job as well. */
  void foundInInbox(String id) {
    Job job = jobs.get(id);
    job.locations.inboxSubmission(true);
    submissionStored(job);
  }

  /** Records that the inbox holds a cancellation of a job, which may be unknown. */
  void cancellationInInbox(String id, long now) {
    Job job = jobs.get(id);
    if (job == null) {
      strayCancellations.putIfAbsent(id, now);
    } else {
      job.locations.inboxCancellation(true);
    }
  }

  /** Records that the inbox no longer holds the submission of a job, which may be unknown. */
  void submissionDeletedFromInbox(String id) {
    Optional.ofNullable(jobs.get(id)).ifPresent(job -> job.locations.inboxSubmission(false));
  }

  /** Records that the inbox no longer holds a cancellation of a job, which may be unknown. */
  void cancellationDeletedFromInbox(String id) {
    strayCancellations.remove(id);
    Optional.ofNullable(jobs.get(id)).ifPresent(job -> job.locations.inboxCancellation(false));
  }

  /**
   * Returns whether the inbox holds a cancellation of an unknown job. Another host has seen the job
   * then, so a submission of it may be stored.
   */
  boolean isCancelledBeforeSubmission(String id) {
    return strayCancellations.containsKey(id);
  }

  /** Returns whether the inbox holds a cancellation of a job that was unknown when it was read. */
  boolean wasCancelledBefore(String id) {
    return strayCancellations.remove(id) != null;
  }

  /** Returns when the submission of a known job is stored; fails if the term ends before. */
  Future<Void> submission(String id) {
    return jobs.get(id).submission.future();
  }

  /** Returns when a final state of a known job is stored; fails if the term ends before. */
  Future<Void> end(String id) {
    return jobs.get(id).end.future();
  }

  /** Returns whether a caller may see a known job. */
  boolean isVisible(JobReference reference) {
    Job job = jobs.get(reference.id());
    return job != null && reference.matches(job.ownership.queue(), job.ownership.organisation());
  }

  /** Returns the stored state of a known job. */
  JobState state(String id) {
    return jobs.get(id).state;
  }

  /** Returns the number of stored jobs of a queue that have not begun. */
  long countUnstarted(String queue) {
    return unstartedByQueue.getOrDefault(queue, Set.of()).size();
  }

  /** Returns the submission of a job, unless its last run ended long ago. */
  Optional<JobSpec> spec(String id) {
    return Optional.ofNullable(jobs.get(id)).map(j -> j.spec);
  }

  /** Returns submissions that were not sent to the store yet, each of them once. */
  List<JobSpec> takeUnsent(int max) {
    List<JobSpec> taken = unsent.values().stream().limit(max).toList();
    taken.forEach(spec -> unsent.remove(spec.id()));
    return taken;
  }

  /** Returns whether submissions wait for being sent to the store. */
  boolean hasUnsent() {
    return !unsent.isEmpty();
  }

  /** Returns whether the submission of a known job was sent to the store. */
  boolean isSent(String id) {
    return jobs.containsKey(id) && !unsent.containsKey(id);
  }

  /** Returns whether the submission of a known job is stored. */
  boolean isStored(String id) {
    Job job = jobs.get(id);
    return job != null && job.submission.future().isComplete();
  }

  /** Records that a lane holds the submission of a known job. */
  void submissionStored(String id, int lane) {
    Job job = jobs.get(id);
    job.locations.submissionInLane(lane);
    submissionStored(job);
  }

  private void submissionStored(Job job) {
    if (job.submission.tryComplete() && !job.state.isFinal() && job.version == 0) {
      unstarted(job).add(job.id);
    }
  }

  /** Records that a lane holds a progress record of a known job. */
  void progressStored(String id, JobProgress progress, int lane, long now) {
    Job job = jobs.get(id);
    if (progress.version() <= job.version) {
      job.locations.progressInLane(lane);
      return;
    }
    job.version = progress.version();
    job.locations.newestProgressInLane(lane);
    applyProgress(job, progress, now);
  }

  /**
   * Deletes records that nobody needs any more. Those of a job are deleted only once its newest
   * record is stored and no other can follow, so that this record moves to another lane no more.
   *
   * @param mayChange whether a job may get further records: it has a run on an executor, or a
   *     change that was not sent to the store yet
   */
  void sweep(Predicate<String> mayChange, long now) {
    List<Job> expired = new ArrayList<>();
    for (Job job : ended) {
      if (!mayChange.test(job.id) && !isInFlight(job)) {
        deleteAllButFinalState(job);
        if (now - job.finalSince >= SPEC_RETENTION_MILLIS) {
          job.spec = null;
        }
        if (now - job.finalSince >= RETENTION_MILLIS && job.locations.isOnlyNewestProgress()) {
          expired.add(job);
        }
      }
    }
    expired.forEach(this::forget);
    strayCancellations.entrySet().stream()
        .filter(e -> now - e.getValue() >= STRAY_RETENTION_MILLIS)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::deleteStray);
    lanes.flushDeletions();
    inbox.flushDeletions();
  }

  private boolean isInFlight(Job job) {
    return lanes.isInFlight(LedgerCodec.jobKey(job.id))
        || lanes.isInFlight(LedgerCodec.progressKey(job.id));
  }

  private void deleteAllButFinalState(Job job) {
    RecordLocations locations = job.locations;
    for (int i = 0; i < lanes.count(); i++) {
      int lane = i;
      if (locations.hasSubmissionInLane(lane)) {
        Entry tombstone = LedgerCodec.jobTombstone(job.id);
        lanes.delete(lane, tombstone, () -> locations.submissionDeleted(lane));
      }
      if (locations.hasProgressInLane(lane) && lane != locations.newestProgressLane()) {
        Entry tombstone = LedgerCodec.progressTombstone(job.id);
        lanes.delete(lane, tombstone, () -> locations.progressDeleted(lane));
      }
    }
    if (locations.hasInboxSubmission()) {
      inbox.delete(job.id, LedgerCodec.jobTombstone(job.id));
    }
    if (locations.hasInboxCancellation()) {
      inbox.delete(job.id, LedgerCodec.cancelTombstone(job.id));
    }
  }

  private void forget(Job job) {
    int lane = job.locations.newestProgressLane();
    lanes.delete(lane, LedgerCodec.progressTombstone(job.id), () -> {});
    jobs.remove(job.id);
    ended.remove(job);
  }

  private void deleteStray(String id) {
    inbox.delete(id, LedgerCodec.cancelTombstone(id));
  }

  /** Ends the term: what is not stored yet may or may not be stored later. */
  void abandon() {
    PeerException problem = new PeerException(true, "the term of the owner has ended");
    jobs.values()
        .forEach(
            job -> {
              job.submission.tryFail(problem);
              job.end.tryFail(problem);
            });
  }
}
