package io.cactusspring.jobs.control;

import io.cactusspring.jobs.log.JobEvent;
import io.cactusspring.jobs.log.JobLog;
import io.cactusspring.jobs.port.KeyedTopic;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.vertx.core.Future;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The inbox of the ledger: partitions to which every host may append submissions and cancellations,
 * for an owner that it cannot reach. The records of one job are in one partition.
 */
final class InboxWriter {
  private final List<KeyedTopic> partitions;
  private final JobLog log;
  private final Map<KeyedTopic, Map<String, Entry>> deletions = new HashMap<>();

  InboxWriter(List<KeyedTopic> partitions, JobLog log) {
    this.partitions = partitions;
    this.log = log;
  }

  /** Returns the partition that holds the records of a job. */
  KeyedTopic partitionOf(String job) {
    return partitions.get(Math.floorMod(job.hashCode(), partitions.size()));
  }

  /** Appends a record of a job. */
  Future<Void> append(String job, Entry entry) {
    return partitionOf(job).append(List.of(entry), Optional.empty()).mapEmpty();
  }

  /**
   * Deletes a record of a job with the next flush. The deletion has taken place once the tombstone
   * is read from the inbox: the order of the tombstone and a copy of the record, which any host may
   * append, is known from there only.
   */
  void delete(String job, Entry tombstone) {
    deletions
        .computeIfAbsent(partitionOf(job), p -> new LinkedHashMap<>())
        .put(tombstone.key(), tombstone);
  }

  /** Sends the deletions to the store; those that fail have to be requested again. */
  void flushDeletions() {
    Map<KeyedTopic, Map<String, Entry>> sent = Map.copyOf(deletions);
    deletions.clear();
    sent.forEach((partition, batch) -> deleteNow(partition, List.copyOf(batch.values())));
  }

  private void deleteNow(KeyedTopic partition, List<Entry> tombstones) {
    partition
        .append(tombstones, Optional.empty())
        .onFailure(
            problem ->
                log.event(
                    JobEvent.APPEND_FAILED,
                    "records",
                    tombstones.size(),
                    "reason",
                    String.valueOf(problem)));
  }
}
