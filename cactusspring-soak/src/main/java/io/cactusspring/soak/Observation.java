package io.cactusspring.soak;

import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.simulation.ConfigurationHistory;
import io.cactusspring.platform.standin.CallerClient.Verdict;
import java.util.List;
import java.util.Optional;

/** What callers, executors and the fault injection saw, in milliseconds since the run began. */
public sealed interface Observation {
  long at();

  /** The kinds of requests of callers. */
  enum Request {
    SUBMISSION,
    CANCELLATION,
    QUERY
  }

  /**
   * A caller sends a submission; repeated for each attempt.
   *
   * @param queue the queue without differences by later configurations
   */
  record Submitted(long at, String job, String organisation, Queue queue, List<StepSpec> steps)
      implements Observation {}

  /** A caller sends a cancellation. */
  record CancelSent(long at, String job) implements Observation {}

  /**
   * A request was answered, or its caller gave up.
   *
   * @param state the job's state; null unless the answer shows it
   * @param retryAfterMillis when a rejected caller may try again; 0 if not named
   */
  record Answered(
      long at,
      long sentAt,
      String host,
      Request request,
      String job,
      String key,
      Verdict verdict,
      JobState state,
      long retryAfterMillis)
      implements Observation {}

  /**
   * An executor starts a run.
   *
   * @param checkpoint empty if it starts from the beginning
   */
  record Started(long at, String executor, TaskId task, int run, String checkpoint)
      implements Observation {}

  /** A run ends on an executor. */
  record Ended(long at, String executor, TaskId task, int run, EndReason reason)
      implements Observation {}

  /** A host acknowledges the end of a run to its executor. */
  record Acknowledged(long at, String executor, TaskId task, int run, EndReason reason)
      implements Observation {}

  /** A host makes an executor delete an end that no answer of this boot has listed. */
  record UnreadEndDeleted(long at, String executor, TaskId task, int run) implements Observation {}

  /**
   * An executor loses all its runs.
   *
   * @param crashed whether it crashed; false if it shut down after it had announced so
   */
  record ExecutorLost(long at, String executor, boolean crashed) implements Observation {}

  /** A task crashes its executor, which is lost next. */
  record CrashCaused(long at, TaskId task) implements Observation {}

  /**
   * An executor announces itself, or its announcement is removed.
   *
   * @param present whether it is announced from now on
   */
  record Announced(long at, ExecutorInfo executor, boolean present) implements Observation {}

  /** The load and the faults have ended; only accepted work remains. */
  record LoadEnded(long at) implements Observation {}

  /** A fault that may delay what the checks with a time bound wait for. */
  record Disturbed(long at, long until) implements Observation {}

  /** The operator withdraws an API key. */
  record KeyWithdrawn(long at, String key) implements Observation {}

  /** The store acknowledges a version of the configuration. */
  record Configured(long at, long version, List<Queue> queues, List<Organisation> organisations)
      implements Observation {}

  /**
   * A host answers a direct request for the count of a queue.
   *
   * @param key empty if the request carries none
   */
  record Counted(
      long at,
      long sentAt,
      String host,
      Queue queue,
      Optional<String> key,
      ConfigurationHistory.Verdict verdict)
      implements Observation {}

  /** A host's process begins. */
  record HostStarted(long at, String host) implements Observation {}

  /**
   * A fault strikes a host, so that bounds need not hold for it while the fault lasts.
   *
   * @param host empty if it strikes all hosts
   */
  record HostImpaired(long at, long until, Optional<String> host) implements Observation {}

  /** The operator takes a zone out of use or returns it. */
  record ZoneUse(long at, String zone, boolean out) implements Observation {}

  /** An organisation submits at a multiple of its usual rate. */
  record Surge(long at, long until, String organisation) implements Observation {}

  /** The fault injection kills a host or pauses it, so that it may answer nothing until a time. */
  record HostHalted(long at, long until, String host) implements Observation {}

  /** A host receives the signal of a planned stop. */
  record PlannedStop(long at, String host) implements Observation {}

  /**
   * A host's process has ended.
   *
   * @param expected whether the fault injection ended it
   */
  record HostEnded(long at, String host, int status, boolean expected) implements Observation {}
}
