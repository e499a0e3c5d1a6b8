package io.cactusspring.jobs.port;

import io.cactusspring.jobs.model.TaskId;
import io.vertx.core.Future;
import java.util.List;

/**
 * Sends requests to executors. The futures never fail: an error is reported as a result, as is a
 * request that cannot be sent because the id or the address of the executor is invalid.
 *
 * @since 0.2
 */
public interface ExecutorClient {
  /** An executor's address and the id of the executor that is expected there. */
  record Target(String id, String address) {}

  /**
   * A request to start a task.
   *
   * @param leaseEndMillis end of the lease, in milliseconds of the executor's clock
   * @param checkpoint checkpoint to resume from; empty to start from the beginning
   * @param ticket ticket of the advice service; empty if the queue needs no advice
   */
  record StartRequest(
      TaskId task,
      int run,
      String payload,
      long leaseEndMillis,
      long fencingToken,
      String checkpoint,
      String ticket) {}

  /**
   * A request to renew the leases of all runs on an executor and to report its runs.
   *
   * @param leaseEndMillis end of the leases, in milliseconds of the executor's clock; 0 to renew
   *     nothing
   * @param acknowledgedEnd number of the last end that the ledger holds; the executor may discard
   *     it and all earlier ones
   * @param waitMillis how long the executor may delay its response until a run ends
   */
  record LeaseRenewalRequest(
      long leaseEndMillis, long fencingToken, long acknowledgedEnd, long waitMillis) {}

  /** Result of a start, stop or pace request. */
  sealed interface CommandResult {
    /**
     * The request was carried out.
     *
     * @param clockMillis the executor's clock
     */
    record Done(long clockMillis) implements CommandResult {}

    /** The request was refused and had no effect. */
    record Refused(Refusal reason) implements CommandResult {}

    /** No valid response was received: the request may be carried out, now or seconds later. */
    record Unknown(String problem) implements CommandResult {}
  }

  /** Why a request was refused. */
  enum Refusal {
    /** The executor has seen a higher fencing token. */
    FENCED,
    /** A run of the task with this number or a higher one was stopped or ended on the executor. */
    STALE_RUN,
    /** The lease in the request had expired on arrival. */
    EXPIRED,
    /** The executor has too little free capacity for the task. */
    NO_ROOM,
    /** The ticket is missing or no longer valid. */
    TICKET,
    /** The request was malformed. */
    INVALID,
    /** The executor is unhealthy. */
    UNHEALTHY,
    /** The executor at the address was restarted and now has another id. */
    OTHER_BOOT,
    /** The request was not sent by this host. */
    NOT_SENT
  }

  /**
   * A run that is active on an executor.
   *
   * @param percent progress from 0 to 100
   * @param usage tail latency in milliseconds for a serving task; thousandths of a processor
   *     otherwise
   */
  record ActiveRun(TaskId task, int run, String checkpoint, int percent, long usage) {}

  /** Why a run ended. */
  enum EndReason {
    DONE,
    FAILED,
    STOPPED,
    /** The lease expired. */
    LAPSED,
    /** Another task of the same gang ended. */
    BROKEN,
    /** The other tasks of the same gang did not start in time. */
    ALONE
  }

  /**
   * A run that has ended. The executor keeps the record until it is acknowledged.
   *
   * @param number sequence number of the end on this executor
   */
  record EndedRun(long number, TaskId task, int run, EndReason reason, String checkpoint) {}

  /** Result of a lease renewal. */
  sealed interface LeaseRenewalResult {
    /**
     * The runs that the executor reports.
     *
     * @param clockMillis the executor's clock
     * @param bootMillis Unix milliseconds of the executor's start, which identify the boot; 0 if
     *     not reported
     * @param running all active runs
     * @param ended runs that have ended and are not acknowledged, the oldest ones first
     * @param truncated whether more runs may have ended than {@code ended} lists
     */
    record Report(
        long clockMillis,
        long bootMillis,
        List<ActiveRun> running,
        List<EndedRun> ended,
        boolean truncated)
        implements LeaseRenewalResult {
      /** Creates a report that lists all ended runs. */
      public Report(
          long clockMillis, long bootMillis, List<ActiveRun> running, List<EndedRun> ended) {
        this(clockMillis, bootMillis, running, ended, false);
      }
    }

    /** The request was refused and had no effect. */
    record Refused(Refusal reason) implements LeaseRenewalResult {}

    /** No valid response was received. */
    record Unknown(String problem) implements LeaseRenewalResult {}
  }

  /** Starts a run. */
  Future<CommandResult> start(Target executor, StartRequest request);

  /** Stops a run. */
  Future<CommandResult> stop(Target executor, TaskId task, int run, long fencingToken);

  /**
   * Throttles a run.
   *
   * @param percent share of its work that the run may do
   */
  Future<CommandResult> pace(Target executor, TaskId task, int run, int percent, long fencingToken);

  /** Renews the leases of all runs on an executor and requests a report of them. */
  Future<LeaseRenewalResult> renewLeases(Target executor, LeaseRenewalRequest request);
}
