package io.cactusspring.jobs.model;

import io.cactusspring.core.model.Resources;
import java.util.Set;

/**
 * A team with its keys, share and limit.
 *
 * @param name the team's name
 * @param keys secrets that prove the team
 * @param weight share of a full cell, relative to other teams
 * @param limit what the team may have running; an amount of 0 means no limit
 * @since 0.2
 */
public record Organisation(String name, Set<String> keys, double weight, Resources limit) {
  public Organisation {
    keys = Set.copyOf(keys);
  }

  /** Returns whether an amount stays within the limit. */
  public boolean allows(Resources amount) {
    return within(amount.milliProcessors(), limit.milliProcessors())
        && within(amount.memoryMib(), limit.memoryMib())
        && within(amount.accelerators(), limit.accelerators());
  }

  private static boolean within(long amount, long max) {
    return max == 0 || amount <= max;
  }
}
