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

  final String worker;
  final Map<TaskId, RunEntry> tasks = new LinkedHashMap<>();
  final Set<TaskId> forget = new TreeSet<>();

  /** Tasks that the worker runs and this owner does not know; stopped and counted until gone. */
  final Map<TaskId, CommittedTask> strays = new LinkedHashMap<>();

  String incarnation;
  boolean heard;
  boolean syncing;
  long syncSentAtMillis = Long.MIN_VALUE / 2;
  int failedSyncs;
  boolean urgent = true;

  WorkerLink(String worker) {
    this.worker = worker;
  }

  boolean reachable() {
    return heard && failedSyncs < MAX_FAILED_SYNCS;
  }

  boolean due(long nowMillis, long syncMillis) {
    if (syncing) {
      return false;
    }
    return urgent && failedSyncs == 0 || nowMillis - syncSentAtMillis >= syncMillis;
  }
}
