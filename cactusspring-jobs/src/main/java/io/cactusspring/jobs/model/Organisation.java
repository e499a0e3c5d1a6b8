package io.cactusspring.jobs.model;

import io.cactusspring.core.model.Resources;
import java.util.Set;

/**
 * A team with its API keys, fair-share weight and resource limit.
 *
 * @param name the team's name
 * @param keys API keys that authenticate the team
 * @param weight share of the capacity when it does not suffice for all teams, relative to the
 *     weights of other teams
 * @param limit maximum resources of the team's running tasks; an amount of 0 means no limit
 * @since 0.2
 */
public record Organisation(String name, Set<String> keys, double weight, Resources limit) {
  public Organisation {
    keys = Set.copyOf(keys);
  }

  /** Returns whether none of the amounts exceeds its limit. */
  public boolean allows(Resources amount) {
    return within(amount.milliProcessors(), limit.milliProcessors())
        && within(amount.memoryMib(), limit.memoryMib())
        && within(amount.accelerators(), limit.accelerators());
  }

  private static boolean within(long amount, long max) {
    return max == 0 || amount <= max;
  }
}
