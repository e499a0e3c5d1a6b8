package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.port.ExecutorClient;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** An executor as the owner sees it: what it runs, its clock, its lease and whether it answers. */
final class LiveExecutor {
  private static final long NEVER = Long.MIN_VALUE / 2;
  // Two failed tasks in a row of different jobs are rare where one in ten fails.
  private static final int FAILING_STREAK = 3;
  private static final long QUARANTINE_MILLIS = 4_000;
  private static final long MAX_QUARANTINE_MILLIS = 16_000;

  private final String id;
  private final Map<RunKey, Run> runs = new LinkedHashMap<>();
  private ExecutorInfo info;
  private boolean listed;
  private long leavesAt;
  private long bootMillis;
  private Resources used = Resources.NONE;
  private long clockMillis;
  private long clockAt = NEVER;
  private long leaseLapsesAt = NEVER;
  private long silentSince = NEVER;
  private boolean surveyed;
  private boolean suspect;
  private long endsSeen;
  private long endsStored;
  private long endsTold;
  private String lastFailedJob = "";
  private int failingStreak;
  private long quarantineMillis = QUARANTINE_MILLIS;
  private long quarantinedUntil = NEVER;

  LiveExecutor(String id) {
    this.id = id;
  }

  String id() {
    return id;
  }

  ExecutorInfo info() {
    return info;
  }

  /** Returns whether its address is known, so that it can be called. */
  boolean isCallable() {
    return info != null;
  }

  ExecutorClient.Target target() {
    return new ExecutorClient.Target(id, info.address());
  }

  long bootMillis() {
    return bootMillis;
  }

  boolean listed() {
    return listed;
  }

  /**
   * Takes what the executor announces.
   *
   * @param drainMillis how long it goes on after it announced to drain, if it does not say
   */
  void announced(ExecutorInfo announced, long drainMillis, long now) {
    boolean wasDraining = isDraining();
    info = announced;
    listed = true;
    if (announced.remainingMillis() >= 0) {
      leavesAt = now + announced.remainingMillis();
    } else if (!wasDraining) {
      leavesAt = now + drainMillis;
    }
  }

  boolean isDraining() {
    return info != null && info.draining();
  }

  /** Returns until when a draining executor goes on at least. */
  long leavesAt() {
    return leavesAt;
  }

  void unlisted() {
    listed = false;
  }

  /** Starts over for a new boot, which knows nothing of the runs, clock and ends before it. */
  void rebooted(long boot) {
    bootMillis = boot;
    clockAt = NEVER;
    endsSeen = 0;
    endsStored = 0;
    endsTold = 0;
    surveyed = false;
    suspect = false;
    silentSince = NEVER;
    failingStreak = 0;
    quarantinedUntil = NEVER;
  }

  /** Takes the boot that an earlier owner knew. */
  void knownBoot(long boot) {
    if (bootMillis == 0) {
      bootMillis = boot;
    }
  }

  Collection<Run> runs() {
    return runs.values();
  }

  Run run(RunKey key) {
    return runs.get(key);
  }

  void add(Run run) {
    if (runs.put(run.key(), run) == null) {
      used = used.plus(run.committed());
    }
  }

  boolean remove(RunKey key) {
    Run run = runs.remove(key);
    if (run == null) {
      return false;
    }
    used = used.minus(run.committed());
    return true;
  }

  Resources used() {
    return used;
  }

  /** Returns what is free; nothing where more is used than the executor announces. */
  Resources free() {
    Resources all = info.capacity();
    return new Resources(
        Math.max(0, all.milliProcessors() - used.milliProcessors()),
        Math.max(0, all.memoryMib() - used.memoryMib()),
        Math.max(0, all.accelerators() - used.accelerators()));
  }

  /** Returns whether new tasks may be placed there. */
  boolean isUsable(long now) {
    return listed
        && surveyed
        && !info.draining()
        && silentSince == NEVER
        && !suspect
        && now >= quarantinedUntil;
  }

  /** Keeps new tasks away while a start is overdue and nothing was answered since it was sent. */
  void suspect(boolean value) {
    suspect = value;
  }

  boolean surveyed() {
    return surveyed;
  }

  void answered(long clock, long now) {
    clockMillis = clock;
    clockAt = now;
    silentSince = NEVER;
  }

  void reported() {
    surveyed = true;
  }

  void silent(long now) {
    if (silentSince == NEVER) {
      silentSince = now;
    }
  }

  boolean isSilent() {
    return silentSince != NEVER;
  }

  boolean hasClock() {
    return clockAt != NEVER;
  }

  /**
   * Returns the end of a lease that starts now, on the executor's clock, and extends the time until
   * which it may run things.
   */
  long grantLease(long leaseMillis, long now) {
    if (!hasClock()) {
      return 0;
    }
    long end = clockMillis + (now - clockAt) + leaseMillis;
    double lapse = clockAt + (end - clockMillis) / SchedulerSettings.SLOWEST_CLOCK;
    leaseLapsesAt = Math.max(leaseLapsesAt, (long) Math.ceil(lapse));
    return end;
  }

  void leaseMayLastUntil(long when) {
    leaseLapsesAt = Math.max(leaseLapsesAt, when);
  }

  boolean leaseLapsed(long now) {
    return now > leaseLapsesAt;
  }

  long endsSeen() {
    return endsSeen;
  }

  void endSeen(long number) {
    endsSeen = Math.max(endsSeen, number);
  }

  void endsStored(long number, long boot) {
    if (boot == bootMillis) {
      endsStored = Math.max(endsStored, number);
    }
  }

  /** Takes note of a failed run; several jobs in a row put the executor in quarantine. */
  boolean runFailed(String job, long now) {
    if (job.equals(lastFailedJob)) {
      return false;
    }
    lastFailedJob = job;
    failingStreak++;
    if (failingStreak < FAILING_STREAK) {
      return false;
    }
    quarantine(now);
    return true;
  }

  void runSucceeded() {
    failingStreak = 0;
    lastFailedJob = "";
    quarantineMillis = QUARANTINE_MILLIS;
  }

  /** Keeps new tasks away for a while, longer each time until something succeeds. */
  void quarantine(long now) {
    quarantinedUntil = now + quarantineMillis;
    quarantineMillis = Math.min(MAX_QUARANTINE_MILLIS, quarantineMillis * 2);
    failingStreak = FAILING_STREAK - 1;
  }

  /** Takes note that the executor was told up to which end it may forget. */
  void endsTold(long number) {
    endsTold = Math.max(endsTold, number);
  }

  /**
   * Returns up to which end the executor may forget, or 0 if it was told already: a number that
   * arrives at a later boot would make that forget ends of its own.
   */
  long endsToTell() {
    return endsStored > endsTold ? endsStored : 0;
  }

  /** Returns whether ends of it were seen that are not stored yet. */
  boolean hasEndsToStore() {
    return endsStored < endsSeen;
  }

  /** Returns when it last answered. */
  long answeredAt() {
    return clockAt;
  }

  /** Returns whether the executor still keeps ends that it may forget. */
  boolean hasEndsToTell() {
    return endsTold < endsSeen;
  }

  boolean hasLabel(String label) {
    return label.isEmpty() || info.labels().contains(label);
  }

  Set<String> labels() {
    return info.labels();
  }
}
