package io.cactusspring.jobs.control;

import io.cactusspring.jobs.link.PeerMessage.VerdictKind;

/**
 * What became of a submission or a cancellation at the owner.
 *
 * @param reason empty if stored
 */
record VerdictReason(VerdictKind kind, String reason) {
  static final VerdictReason STORED = new VerdictReason(VerdictKind.STORED, "");
}
