package io.cactusspring.jobs.control;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobLedger;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds jobs that ended so long ago that nobody asks for them any more. */
final class RetentionSweep {
  // Callers were promised two minutes.
  private static final long KEEP_MILLIS = 180_000;

  /** Jobs that one sweep drops at most; each takes three records. */
  private static final int MOST_JOBS = 50;

  private final JobLedger ledger;
  private final Map<String, Long> finalSince = new HashMap<>();

  RetentionSweep(JobLedger ledger) {
    this.ledger = ledger;
  }

  /** Returns records that drop what has ended long ago. */
  List<Entry> due(long now) {
    finalSince.keySet().removeIf(id -> ledger.job(id).isEmpty());
    ledger.jobs().stream()
        .filter(j -> j.state().isFinal())
        .forEach(j -> finalSince.putIfAbsent(j.id(), now));
    return ledger.jobs().stream()
        .map(JobEntry::id)
        .filter(id -> now - finalSince.getOrDefault(id, now) >= KEEP_MILLIS)
        .limit(MOST_JOBS)
        .flatMap(id -> LedgerCodec.tombstones(id).stream())
        .toList();
  }
}
