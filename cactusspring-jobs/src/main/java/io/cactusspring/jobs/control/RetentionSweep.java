package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobLedger;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds jobs whose retention time after their end has passed. */
final class RetentionSweep {
  // Callers are guaranteed two minutes.
  private static final long RETENTION_MILLIS = 180_000;

  /** Maximum number of jobs that one sweep deletes; each job takes three records. */
  private static final int MAX_JOBS_PER_SWEEP = 50;

  private final JobLedger ledger;
  private final Map<String, Long> finalSince = new HashMap<>();

  RetentionSweep(JobLedger ledger) {
    this.ledger = ledger;
  }

  /**
   * Returns tombstones for the jobs whose retention time has passed.
   *
   * @param now milliseconds of {@link io.cactusspring.jobs.port.Timers#nowMillis}
   */
  List<Entry> tombstones(long now) {
    finalSince.keySet().removeIf(id -> ledger.job(id).isEmpty());
    ledger.jobs().stream()
        .filter(j -> j.state().isFinal())
        .forEach(j -> finalSince.putIfAbsent(j.id(), now));
    return ledger.jobs().stream()
        .map(JobEntry::id)
        .filter(id -> now - finalSince.getOrDefault(id, now) >= RETENTION_MILLIS)
        .limit(MAX_JOBS_PER_SWEEP)
        .flatMap(id -> LedgerCodec.tombstones(id).stream())
        .toList();
  }
}
