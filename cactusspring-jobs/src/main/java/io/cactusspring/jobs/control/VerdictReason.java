package io.cactusspring.jobs.control;

import io.cactusspring.jobs.link.PeerMessage.VerdictKind;
import io.cactusspring.jobs.schedule.Admission;
import java.util.OptionalLong;

/**
 * What became of a submission or a cancellation at the owner.
 *
 * @param reason empty if stored
 * @param retryAfterMillis set if a submission was refused because of too much work: time after
 *     which the caller may submit it again
 */
record VerdictReason(VerdictKind kind, String reason, OptionalLong retryAfterMillis) {
  static final VerdictReason STORED = new VerdictReason(VerdictKind.STORED, "");

  /** Creates the verdict on a job that is not stored because of too much work. */
  static VerdictReason overloaded(Admission.Rejected rejection) {
    return new VerdictReason(
        VerdictKind.REFUSED, rejection.reason(), OptionalLong.of(rejection.retryAfterMillis()));
  }

  /** Creates a verdict after which the caller need not retry. */
  VerdictReason(VerdictKind kind, String reason) {
    this(kind, reason, OptionalLong.empty());
  }
}
