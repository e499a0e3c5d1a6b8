package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * In-memory view of the jobs, the owner and the entry hosts, built from the records of the store.
 *
 * <p>Every entry host applies the same records in the order of their offsets. Applying a record
 * again, or one that is older than the record already applied for its key, has no effect.
 *
 * @since 0.2
 */
public final class JobLedger {
  private final Map<String, JobEntry> jobs = new LinkedHashMap<>();
  private final Map<String, PeerRecord> peers = new LinkedHashMap<>();
  private final LedgerListener listener;
  private OwnerRecord owner = new OwnerRecord(0, "", "", true);

  public JobLedger(LedgerListener listener) {
    this.listener = listener;
  }

  /** Applies a record; unknown keys and records that cannot be decoded are ignored. */
  public void apply(Entry entry) {
    String key = entry.key();
    if (key.equals(LedgerCodec.OWNER_KEY)) {
      LedgerCodec.readOwner(entry).ifPresent(this::applyOwner);
    } else if (key.startsWith(LedgerCodec.PROGRESS_PREFIX)) {
      applyProgress(key.substring(LedgerCodec.PROGRESS_PREFIX.length()), entry);
    } else if (key.startsWith(LedgerCodec.JOB_PREFIX)) {
      applyJob(key.substring(LedgerCodec.JOB_PREFIX.length()), entry);
    } else if (key.startsWith(LedgerCodec.CANCEL_PREFIX)) {
      applyCancel(key.substring(LedgerCodec.CANCEL_PREFIX.length()), entry);
    } else if (key.startsWith(LedgerCodec.PEER_PREFIX) && entry.value() != null) {
      LedgerCodec.readPeer(entry).ifPresent(p -> peers.put(p.host(), p));
    }
  }

  private void applyOwner(OwnerRecord record) {
    if (record.term() < owner.term()) {
      return;
    }
    boolean changed = !record.equals(owner);
    owner = record;
    if (changed) {
      listener.ownerChanged(record);
    }
    listener.onOwnerRecord(record.term());
  }

  private void applyProgress(String id, Entry entry) {
    if (entry.value() == null) {
      return;
    }
    LedgerCodec.readProgress(entry)
        .ifPresent(
            p -> {
              findOrCreate(id).applyProgress(p, entry.offset());
              listener.onOwnerRecord(p.term());
            });
  }

  private void applyJob(String id, Entry entry) {
    if (entry.value() == null) {
      jobs.remove(id);
      return;
    }
    Optional<JobSpec> spec = LedgerCodec.readJob(entry);
    if (spec.isPresent() && findOrCreate(id).applySubmission(spec.get(), entry.offset())) {
      listener.submitted(findOrCreate(id));
    }
  }

  private void applyCancel(String id, Entry entry) {
    if (entry.value() != null && findOrCreate(id).applyCancellation(entry.offset())) {
      listener.cancelled(findOrCreate(id));
    }
  }

  private JobEntry findOrCreate(String id) {
    return jobs.computeIfAbsent(id, JobEntry::new);
  }

  /** Returns a job; empty if its submission has not been applied. */
  public Optional<JobEntry> job(String id) {
    return Optional.ofNullable(jobs.get(id)).filter(j -> j.spec().isPresent());
  }

  /**
   * Returns all jobs in the order in which their first records were applied, including those
   * without a submission yet.
   */
  public Collection<JobEntry> jobs() {
    return jobs.values();
  }

  /** Returns the newest owner record; term 0, released, before any was applied. */
  public OwnerRecord owner() {
    return owner;
  }

  public List<PeerRecord> peers() {
    return List.copyOf(peers.values());
  }

  public Optional<PeerRecord> peer(String host) {
    return Optional.ofNullable(peers.get(host));
  }

  /** Returns the number of jobs of a queue that are not final and have no started task. */
  public long countUnstarted(String queue) {
    return jobs.values().stream()
        .filter(j -> j.spec().map(s -> s.queue().name().equals(queue)).orElse(false))
        .filter(JobEntry::isUnstarted)
        .count();
  }
}
