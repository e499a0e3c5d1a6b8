package io.cactusspring.jobs.schedule;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A part of the scheduling policy that can be switched off, to measure what it is worth. Without
 * it, decisions are made as if it did not exist; no safety check depends on one.
 *
 * @since 0.3
 */
public enum Mechanism {
  /** Learned speeds of executors, in placement and in expected durations. */
  EXECUTOR_SPEEDS,
  /** Learned corrections of the estimates of callers. */
  ESTIMATE_CORRECTION,
  /** Another order of waiting steps while they do not fit. */
  SHORTAGE_ORDER,
  /** Running jobs later that would make others late. */
  DEFERRAL,
  /** Preferring organisations within their entitlement. */
  FAIRNESS,
  /** Running jobs beyond the agreed rate of their organisation last. */
  SURPLUS,
  /** Rejecting jobs that could not be of use any more. */
  ADMISSION,
  /** Excluding executors on which jobs fail. */
  QUARANTINE,
  /** Keeping filling tasks and serving ones apart. */
  INTERFERENCE,
  /** Placing tasks near their data or beside each other. */
  LOCALITY,
  /** Stopping tasks with checkpoints for urgent ones. */
  PREEMPTION,
  /** Counting in the resource that limits a service, instead of processors. */
  SCARCE_RESOURCE,
  /** Keeping executors for gangs that wait. */
  RESERVATIONS,
  /** A share of each service for steps that have waited for long. */
  AGED_STEPS;

  /** Returns the name in settings, such as {@code shortage-order}. */
  public String settingName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Parses a comma-separated list of names as in settings; an empty text is an empty list.
   *
   * @throws UnknownMechanismException naming the unknown name and the known ones
   */
  public static Set<Mechanism> parseAll(String text) throws UnknownMechanismException {
    Set<Mechanism> parsed = EnumSet.noneOf(Mechanism.class);
    for (String name : text.split(",", -1)) {
      if (!text.isEmpty()) {
        parsed.add(parse(name.strip()));
      }
    }
    return parsed;
  }

  private static Mechanism parse(String name) throws UnknownMechanismException {
    return Arrays.stream(values())
        .filter(m -> m.settingName().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new UnknownMechanismException(
                    "unknown mechanism \""
                        + name
                        + "\"; expected one of "
                        + Arrays.stream(values())
                            .map(Mechanism::settingName)
                            .collect(Collectors.joining(", "))));
  }

  /** A setting names a mechanism that does not exist. */
  public static final class UnknownMechanismException extends Exception {
    private static final long serialVersionUID = 1;

    UnknownMechanismException(String message) {
      super(message);
    }
  }
}
