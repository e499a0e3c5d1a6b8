package io.cactusspring.jobs.port;

import io.cactusspring.jobs.model.TaskId;
import io.vertx.core.Future;
import java.util.List;

/**
 * Orders to executors. The futures never fail: every outcome is an answer.
 *
 * @since 0.2
 */
public interface ExecutorClient {
  /** An executor's address and the id that it is expected to have. */
  record Target(String id, String address) {}

  /**
   * An order to start a task.
   *
   * @param leaseEndMillis on the executor's clock
   * @param checkpoint empty to start from the beginning
   * @param ticket empty if the queue needs no advice
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
   * Renews the lease of everything on an executor and asks what runs there.
   *
   * @param leaseEndMillis on the executor's clock; 0 to renew nothing
   * @param acknowledgedEnd number of the last end that is stored and can be forgotten
   * @param waitMillis how long the answer may wait for an end
   */
  record LeaseRenewalRequest(
      long leaseEndMillis, long fencingToken, long acknowledgedEnd, long waitMillis) {}

  /** Outcome of an order. */
  sealed interface CommandResult {
    /** Done. */
    record Done(long clockMillis) implements CommandResult {}

    /** Refused without effect. */
    record Refused(Refusal reason) implements CommandResult {}

    /** No answer came: the order may be carried out, now or seconds later. */
    record Unknown(String problem) implements CommandResult {}
  }

  /** Why an executor refused an order. */
  enum Refusal {
    /** A higher fencing token was seen. */
    FENCED,
    /** A run with this number or a higher one was stopped or ended there. */
    STALE_RUN,
    /** The lease in the order had ended already. */
    EXPIRED,
    /** The task does not fit. */
    NO_ROOM,
    /** The ticket is missing or no longer valid. */
    TICKET,
    /** The order could not be read. */
    INVALID,
    /** The executor is unhealthy. */
    UNHEALTHY,
    /** Another boot of the executor answers at its address. */
    OTHER_BOOT,
    /** The order never left this host. */
    NOT_SENT
  }

  /**
   * A task that an executor runs.
   *
   * @param percent progress from 0 to 100
   * @param usage tail latency in milliseconds of a serving task, thousandths of a processor else
   */
  record ActiveRun(TaskId task, int run, String checkpoint, int percent, long usage) {}

  /** How a run ended. */
  enum EndReason {
    DONE,
    FAILED,
    STOPPED,
    /** The lease ended. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not come in time. */
    ALONE
  }

  /** An end that an executor keeps until it was told that it is stored. */
  record EndedRun(long number, TaskId task, int run, EndReason reason, String checkpoint) {}

  /** What an executor answers to a hold. */
  sealed interface LeaseRenewalResult {
    /** The executor's own account. */
    record Report(long clockMillis, long bootMillis, List<ActiveRun> running, List<EndedRun> ended)
        implements LeaseRenewalResult {}

    /** Refused without effect. */
    record Refused(Refusal reason) implements LeaseRenewalResult {}

    /** No answer came. */
    record Unknown(String problem) implements LeaseRenewalResult {}
  }

  Future<CommandResult> start(Target executor, StartRequest request);

  Future<CommandResult> stop(Target executor, TaskId task, int run, long fencingToken);

  Future<CommandResult> pace(Target executor, TaskId task, int run, int percent, long fencingToken);

  Future<LeaseRenewalResult> renewLeases(Target executor, LeaseRenewalRequest request);
}
