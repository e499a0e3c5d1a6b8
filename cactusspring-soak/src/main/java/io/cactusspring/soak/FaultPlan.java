package io.cactusspring.soak;

import io.cactusspring.soak.Fault.Group;
import io.cactusspring.soak.Fault.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/** Draws the faults of a run from its seed. */
final class FaultPlan {
  /** The hosts settle before the first fault. */
  private static final long FIRST_MILLIS = 4_000;

  private static final int MIN_GAP_MILLIS = 500;
  private static final int MAX_GAP_MILLIS = 7_000;
  private static final int OVERLAP_PERCENT = 30;

  private static final long RESTART_MILLIS = 600;
  private static final long CUT_DELAY_MILLIS = 2_000;
  private static final long CUT_MILLIS = 11_000;
  private static final long RESTART_CYCLE_MILLIS = 15_000;

  private final Random random;
  private final int hosts;
  private final List<Kind> kinds;
  private final List<Fault> faults = new ArrayList<>();

  private FaultPlan(long seed, int hosts, Set<Group> groups) {
    random = new Random(seed);
    this.hosts = hosts;
    kinds = Arrays.stream(Kind.values()).filter(k -> groups.contains(k.group)).toList();
  }

  /** Draws faults that end within a duration. */
  static List<Fault> draw(long seed, long durationMillis, int hosts, Set<Group> groups) {
    FaultPlan plan = new FaultPlan(seed, hosts, groups);
    if (!plan.kinds.isEmpty()) {
      plan.fill(durationMillis);
    }
    return List.copyOf(plan.faults);
  }

  /**
   * Returns faults that end within a duration: the executors of one zone after the other start
   * again under their ids, and are cut off 2 s later for longer than any lease.
   */
  static List<Fault> restarts(long durationMillis) {
    List<Fault> faults = new ArrayList<>();
    long at = FIRST_MILLIS;
    for (int i = 0; at + RESTART_CYCLE_MILLIS <= durationMillis; i++) {
      long start = at;
      String zone = Site.ZONES.get(i % Site.ZONES.size());
      IntStream.range(0, Site.executors().size())
          .filter(e -> Site.executors().get(e).zone().equals(zone))
          .forEach(
              e -> {
                long cutAt = start + RESTART_MILLIS + CUT_DELAY_MILLIS;
                faults.add(new Fault(start, RESTART_MILLIS, Kind.EXECUTOR_CRASHED, e, 0));
                faults.add(new Fault(cutAt, CUT_MILLIS, Kind.EXECUTOR_SILENT, e, 0));
              });
      at += RESTART_CYCLE_MILLIS;
    }
    return List.copyOf(faults);
  }

  private void fill(long durationMillis) {
    long at = FIRST_MILLIS;
    while (at < durationMillis) {
      Kind kind = kinds.get(random.nextInt(kinds.size()));
      Fault fault =
          new Fault(
              at,
              between(kind.minMillis, kind.maxMillis),
              kind,
              random.nextInt(targets(kind)),
              amount(kind));
      if (fault.until() <= durationMillis && faults.stream().noneMatch(f -> clash(f, fault))) {
        faults.add(fault);
      }
      boolean overlaps = random.nextInt(100) < OVERLAP_PERCENT;
      at += MIN_GAP_MILLIS + (overlaps ? 0 : random.nextInt(MAX_GAP_MILLIS - MIN_GAP_MILLIS));
    }
  }

  private int between(int min, int max) {
    return min + random.nextInt(max - min + 1);
  }

  private int targets(Kind kind) {
    return switch (kind.group) {
      case PROCESS, LINK -> hosts;
      case STORE -> 1;
      case EXECUTOR -> Site.executors().size();
      case LOAD -> kind == Kind.ZONE_EVACUATED ? Site.ZONES.size() : Site.ORGANISATIONS;
    };
  }

  private int amount(Kind kind) {
    return switch (kind) {
      case STORE_SLOW, LINK_DELAYED -> between(40, 600);
      case STORE_LATE, STORE_LOSES_ANSWERS, EXECUTOR_LATE, EXECUTOR_LOSES_ANSWERS ->
          between(10, 50);
      case SURGE -> between(400, 700);
      case EXECUTOR_RESIZED -> between(20, 70);
      case HOST_RELOADED, CONFIGURATION_CHANGED -> between(100, 900);
      default -> 0;
    };
  }

  /** A host, link or executor has one fault at a time; a key is withdrawn once a run. */
  private static boolean clash(Fault earlier, Fault next) {
    if (next.kind() == Kind.KEY_WITHDRAWN && earlier.kind() == Kind.KEY_WITHDRAWN) {
      return true;
    }
    boolean sameTarget =
        earlier.kind() == next.kind()
            || earlier.kind().group == next.kind().group
                && earlier.target() == next.target()
                && next.kind().group != Group.LOAD
                && !earlier.isHarmless()
                && !next.isHarmless();
    return sameTarget && earlier.until() >= next.at();
  }
}
