package io.cactusspring.soak;

import java.util.EnumSet;
import java.util.Set;

/**
 * A fault of the plan.
 *
 * @param at when it begins, in milliseconds since the run began
 * @param millis how long it lasts; 0 if it is momentary
 * @param target index of the host, executor, organisation or zone, according to the kind
 * @param amount delay in milliseconds, or a percentage, according to the kind
 */
public record Fault(long at, long millis, Kind kind, int target, int amount) {
  /** What a fault strikes. */
  public enum Group {
    PROCESS,
    STORE,
    LINK,
    EXECUTOR,
    LOAD
  }

  /** The kinds of faults. */
  public enum Kind {
    HOST_KILLED(Group.PROCESS, 500, 4_000),
    HOST_PAUSED(Group.PROCESS, 300, 8_000),
    /** SIGTERM, and a restart after the process has ended. */
    HOST_STOPPED(Group.PROCESS, 500, 3_000),
    /** SIGHUP again and again; the amount is the interval in milliseconds. */
    HOST_RELOADED(Group.PROCESS, 500, 4_000),
    STORE_SLOW(Group.STORE, 2_000, 8_000),
    STORE_DOWN(Group.STORE, 500, 6_000),
    /** Requests are carried out, but a percentage of them is not answered. */
    STORE_LOSES_ANSWERS(Group.STORE, 2_000, 6_000),
    /** A percentage of the requests is carried out seconds later. */
    STORE_LATE(Group.STORE, 2_000, 6_000),
    HISTORY_DROPPED(Group.STORE, 0, 0),
    LINK_DELAYED(Group.LINK, 2_000, 8_000),
    LINK_RESET(Group.LINK, 500, 5_000),
    /** Requests of a host do not reach the store. */
    LINK_CUT_TO_STORE(Group.LINK, 1_000, 6_000),
    /** Answers of the store do not reach a host. */
    LINK_CUT_FROM_STORE(Group.LINK, 1_000, 6_000),
    LINK_SILENT(Group.LINK, 1_000, 8_000),
    /** All connections that are open go silent for good; new ones work. */
    OPEN_CONNECTIONS_SILENT(Group.LINK, 0, 0),
    /** The amount is the time from the start of the later boot to its announcement. */
    EXECUTOR_CRASHED(Group.EXECUTOR, 300, 5_000),
    EXECUTOR_DRAINED(Group.EXECUTOR, 2_500, 5_000),
    EXECUTOR_SILENT(Group.EXECUTOR, 1_000, 10_000),
    EXECUTOR_LATE(Group.EXECUTOR, 2_000, 6_000),
    EXECUTOR_LOSES_ANSWERS(Group.EXECUTOR, 2_000, 6_000),
    /** The announced capacity shrinks to a percentage, and grows again at the end. */
    EXECUTOR_RESIZED(Group.EXECUTOR, 4_000, 10_000),
    /** One organisation submits at a multiple of its rate; the amount is a percentage. */
    SURGE(Group.LOAD, 5_000, 10_000),
    /** All organisations together submit 1.5 times the work that the executors can do. */
    OVERLOAD(Group.LOAD, 10_000, 10_000),
    CANCELLATIONS(Group.LOAD, 2_000, 5_000),
    KEY_WITHDRAWN(Group.LOAD, 12_000, 12_000),
    ZONE_EVACUATED(Group.LOAD, 8_000, 14_000),
    /** A new configuration again and again; the amount is the interval in milliseconds. */
    CONFIGURATION_CHANGED(Group.LOAD, 1_000, 6_000);

    /** Kinds that excuse no delay and go on beside other faults of the same target. */
    private static final Set<Kind> HARMLESS = EnumSet.of(HOST_RELOADED, EXECUTOR_RESIZED);

    final Group group;
    final int minMillis;
    final int maxMillis;

    Kind(Group group, int minMillis, int maxMillis) {
      this.group = group;
      this.minMillis = minMillis;
      this.maxMillis = maxMillis;
    }
  }

  long until() {
    return at + millis;
  }

  boolean isActive(long now) {
    return now >= at && now < until();
  }

  boolean isHarmless() {
    return Kind.HARMLESS.contains(kind);
  }

  /** Returns whether the fault excuses delays: load does not. */
  boolean disturbs() {
    return kind.group != Group.LOAD && !isHarmless();
  }
}
