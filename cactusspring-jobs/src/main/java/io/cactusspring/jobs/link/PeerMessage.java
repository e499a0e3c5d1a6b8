package io.cactusspring.jobs.link;

import io.cactusspring.jobs.model.JobReference;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.StepId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * A message between the owner of the executors and another entry host.
 *
 * @since 0.2
 */
public sealed interface PeerMessage {
  /**
   * First message on a link, from the host that opened it.
   *
   * @param milliProcessors processing power of the sender in thousandths of a processor
   */
  record Hello(String host, String incarnation, int milliProcessors) implements PeerMessage {}

  /** How far a process is with the term of its last claim. */
  enum OwnerPhase {
    /** The process does not own the executors, or not any more. */
    NONE,
    /** The process has claimed ownership and reads the ledger. */
    TAKING_OVER,
    ACTIVE
  }

  /**
   * Periodic message of the process that accepted the link.
   *
   * @param incarnation id of the sending process
   * @param term term of the sender's claim; 0 without one
   * @param phase how far the sender is with that term
   * @param storeAgeMillis milliseconds since the sender's last successful append was sent
   * @param intervalMillis milliseconds until the next status
   * @param successionRank position of the receiver, from 0, among the hosts that may succeed the
   *     owner; empty if it is not determined yet
   */
  record OwnerStatus(
      String incarnation,
      long term,
      OwnerPhase phase,
      long storeAgeMillis,
      long intervalMillis,
      OptionalInt successionRank,
      Map<String, Double> durationFactors)
      implements PeerMessage {
    public OwnerStatus {
      durationFactors = Map.copyOf(durationFactors);
    }
  }

  /** A message that is answered by a {@link Reply} with the same id. */
  sealed interface Request extends PeerMessage {
    long id();
  }

  /** Submits a job; answered by a {@link Verdict}. */
  record Submit(long id, JobSpec job) implements Request {}

  /** Cancels a job; answered by a {@link Verdict}. */
  record Cancel(long id, JobReference job) implements Request {}

  /** Asks for the state of a job; answered by a {@link StateReply}. */
  record GetState(long id, JobReference job) implements Request {}

  /** Asks how many accepted jobs of a queue have not begun; answered by a {@link CountReply}. */
  record CountWaiting(long id, String queue) implements Request {}

  /** Asks the receiver to call the advice service; answered by an {@link AdviceReply}. */
  record GetAdvice(long id, StepId step, List<String> executors, long timeoutMillis)
      implements Request {}

  /** Answers a {@link Request}. */
  sealed interface Reply extends PeerMessage {
    long id();
  }

  /** What became of a submission or a cancellation. */
  enum VerdictKind {
    /** The request is stored. */
    STORED,
    /** The request has no effect and never will. */
    REFUSED,
    /** The request may have been stored, or may still be stored. */
    UNDECIDED,
    /** The sender knows no such job. */
    UNKNOWN_JOB
  }

  /**
   * Answers a {@link Submit} or a {@link Cancel}.
   *
   * @param reason empty if stored
   */
  record Verdict(long id, VerdictKind kind, String reason, OptionalLong retryAfterMillis)
      implements Reply {}

  /** Answers a {@link GetState}; empty if the sender knows no such job. */
  record StateReply(long id, Optional<JobState> state) implements Reply {}

  /** Answers a {@link CountWaiting}. */
  record CountReply(long id, long jobs) implements Reply {}

  /** Answers a {@link GetAdvice} with the granted tickets by executor id. */
  record AdviceReply(long id, Map<String, String> tickets) implements Reply {}

  /** The request had no effect. */
  record Failure(long id, String reason) implements Reply {}
}
