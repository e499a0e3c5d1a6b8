package io.cactusspring.core.shard;

import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.placement.CommittedTask;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The owner's mutable state of its calls to one worker. */
final class WorkerLink {
  /** Consecutive failed syncs after which the owner stops renewing leases and only probes. */
  private static final int MAX_FAILED_SYNCS = 2;

  /** Minimum time between two syncs that only check for ended tasks. */
  private static final long MIN_SYNC_MILLIS = 100;

  final String worker;
  final Map<TaskId, RunEntry> tasks = new LinkedHashMap<>();
  final Set<TaskId> forget = new TreeSet<>();

  /** Running tasks unknown to this owner; they are stopped, and committed until they are gone. */
  final Map<TaskId, CommittedTask> orphans = new LinkedHashMap<>();

  String incarnation;
  boolean reported;
  boolean syncing;
  long syncSentAtMillis = Long.MIN_VALUE / 2;
  int failedSyncs;
  boolean syncRequested = true;

  WorkerLink(String worker) {
    this.worker = worker;
  }

  boolean reachable() {
    return reported && failedSyncs < MAX_FAILED_SYNCS;
  }

  boolean due(long nowMillis, long syncMillis) {
    if (syncing) {
      return false;
    }
    if (nowMillis - syncSentAtMillis >= syncMillis) {
      return true;
    }
    return failedSyncs == 0 && (syncRequested || endExpected(nowMillis));
  }

  /** Returns whether a task should have ended since the last sync by its declared run time. */
  private boolean endExpected(long nowMillis) {
    if (nowMillis - syncSentAtMillis < MIN_SYNC_MILLIS) {
      return false;
    }
    return tasks.values().stream()
        .mapToLong(RunEntry::expectedEndMillis)
        .anyMatch(end -> end > syncSentAtMillis && end <= nowMillis);
  }
}
