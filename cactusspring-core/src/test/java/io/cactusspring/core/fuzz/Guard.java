package io.cactusspring.core.fuzz;

import java.util.EnumSet;
import java.util.Set;

/** Guards that a mutation switches off, to show that the fuzz notices. */
enum Guard {
  /** Owners act without evidence that they still own their shard. */
  AUTHORITY,
  /** Workers refuse calls of an earlier epoch. */
  WORKER_EPOCH,
  /** A new owner waits for what the replaced one may have started. */
  TAKEOVER_WAIT,
  /** An attempt of a run that is not idempotent is in the log before it starts. */
  RECORD_BEFORE_START,
  /** A shard uses no more than its part of a team's limit. */
  BUDGET,
  /** A refusal is "not run" only when the log says that the work is void. */
  VOID_RECORD,
  /** A commitment counts what the task declares. */
  CAPACITY,
  /** Notes are resolved against what precedes them in the log. */
  NOTE_ORDER,
  /** Gangs start whole. */
  GANG;

  /** All guards but one. */
  static Set<Guard> without(Guard off) {
    return EnumSet.complementOf(EnumSet.of(off));
  }

  static Set<Guard> all() {
    return EnumSet.allOf(Guard.class);
  }
}
