package io.cactusspring.core.fuzz;

import java.util.EnumSet;
import java.util.Set;

/** Guards that a mutation switches off, to show that the fuzzer detects the missing guard. */
enum Guard {
  /** Owners act only on evidence that they still own their shard. */
  AUTHORITY,
  /** Workers refuse calls of an earlier epoch. */
  WORKER_EPOCH,
  /** A new owner waits for attempts that the replaced owner may have started. */
  TAKEOVER_WAIT,
  /** An attempt of a run that is not idempotent is in the log before it starts. */
  RECORD_BEFORE_START,
  /** A shard uses no more than its part of a team's limit. */
  BUDGET,
  /** Work is refused as not run only when the log contains the record that voids it. */
  VOID_RECORD,
  /** A commitment on a worker counts the resources that the task declares. */
  CAPACITY,
  /** Notes are resolved against the configuration that precedes them in the log. */
  NOTE_ORDER,
  /** The tasks of a gang start all together or not at all. */
  GANG;

  /** Returns all guards but one. */
  static Set<Guard> without(Guard off) {
    return EnumSet.complementOf(EnumSet.of(off));
  }

  static Set<Guard> all() {
    return EnumSet.allOf(Guard.class);
  }
}
