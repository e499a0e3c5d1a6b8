package io.cactusspring.jobs.control;

import io.cactusspring.jobs.link.PeerMessage.VerdictKind;
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

  /** Creates a verdict after which the caller need not retry. */
  VerdictReason(VerdictKind kind, String reason) {
    this(kind, reason, OptionalLong.empty());
  }
}
