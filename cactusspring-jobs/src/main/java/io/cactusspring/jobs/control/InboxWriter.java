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
  private record Deletion(Entry tombstone, Runnable done) {}

  private final List<KeyedTopic> partitions;
  private final JobLog log;
  private final Map<KeyedTopic, Map<String, Deletion>> deletions = new HashMap<>();

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
   * Deletes a record of a job with the next flush.
   *
   * @param done called when the record is deleted
   */
  void delete(String job, Entry tombstone, Runnable done) {
    deletions
        .computeIfAbsent(partitionOf(job), p -> new LinkedHashMap<>())
        .put(tombstone.key(), new Deletion(tombstone, done));
  }

  /** Sends the deletions to the store; those that fail have to be requested again. */
  void flushDeletions() {
    Map<KeyedTopic, Map<String, Deletion>> sent = Map.copyOf(deletions);
    deletions.clear();
    sent.forEach(this::deleteNow);
  }

  private void deleteNow(KeyedTopic partition, Map<String, Deletion> batch) {
    List<Entry> tombstones = batch.values().stream().map(Deletion::tombstone).toList();
    partition
        .append(tombstones, Optional.empty())
        .onComplete(
            stored -> batch.values().forEach(d -> d.done.run()),
            problem ->
                log.event(
                    JobEvent.APPEND_FAILED,
                    "records",
                    tombstones.size(),
                    "reason",
                    String.valueOf(problem)));
  }
}
