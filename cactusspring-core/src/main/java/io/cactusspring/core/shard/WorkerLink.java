package io.cactusspring.core.shard;

import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.placement.CommittedTask;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The owner's mutable view of its calls to one worker. */
final class WorkerLink {
  /** Syncs that may fail in a row before the owner stops renewing and only probes. */
  private static final int MAX_FAILED_SYNCS = 2;

  /** Shortest time between two syncs that only look for ends. */
  private static final long MIN_SYNC_MILLIS = 100;

  final String worker;
  final Map<TaskId, RunEntry> tasks = new LinkedHashMap<>();
  final Set<TaskId> forget = new TreeSet<>();

  /** Tasks that the worker runs and this owner does not know; stopped and counted until gone. */
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

  /** Whether a task should have ended since the last sync, by its declared run time. */
  private boolean endExpected(long nowMillis) {
    if (nowMillis - syncSentAtMillis < MIN_SYNC_MILLIS) {
      return false;
    }
    return tasks.values().stream()
        .mapToLong(RunEntry::expectedEndMillis)
        .anyMatch(end -> end > syncSentAtMillis && end <= nowMillis);
  }
}
