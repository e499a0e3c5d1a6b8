package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;

/** A kind of capacity that executors offer to tasks. */
enum ResourceKind {
  /** Counted in processors. */
  PROCESSORS,
  /** Counted in MiB. */
  MEMORY,
  /** Counted in whole devices. */
  ACCELERATORS;

  /** Returns how much of this kind a set of resources contains. */
  double of(Resources resources) {
    return switch (this) {
      case PROCESSORS -> resources.milliProcessors() / 1_000.0;
      case MEMORY -> resources.memoryMib();
      case ACCELERATORS -> resources.accelerators();
    };
  }
}
