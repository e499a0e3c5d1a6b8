package io.cactusspring.daemon.control;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.shard.ShardOwner;
import io.cactusspring.protocol.gen.ShardLoad;

/** Calculations with the free capacity of shards. */
final class ShardLoads {
  /** Result for a resource of which a task needs nothing. */
  private static final long UNBOUNDED = 1_000_000;

  private ShardLoads() {}

  static ShardLoad of(ShardOwner owner) {
    Resources free = owner.placer().free();
    return new ShardLoad(
        owner.shard().toString(),
        free.milliProcessors(),
        free.memoryMib(),
        free.accelerators(),
        owner.placer().waitingRuns());
  }

  /** Returns how many such tasks the given resources can hold. */
  static long tasksThatFit(Resources task, Resources total) {
    return Math.min(
        ratio(total.milliProcessors(), task.milliProcessors()),
        Math.min(
            ratio(total.memoryMib(), task.memoryMib()),
            ratio(total.accelerators(), task.accelerators())));
  }

  private static long ratio(long total, long part) {
    return part == 0 ? UNBOUNDED : total / part;
  }
}
