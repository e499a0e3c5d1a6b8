package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.protocol.ThriftCodec;
import io.cactusspring.protocol.gen.ledger.JobProgressRecord;
import io.cactusspring.protocol.gen.ledger.JobRecord;
import io.cactusspring.protocol.gen.ledger.OwnerClaimRecord;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;

/**
 * Encodes and decodes the records of the job ledger: string keys, and values in Thrift's compact
 * protocol.
 *
 * <p>Encoded entries have offset 0; the store assigns the offset when it appends them.
 *
 * @since 0.2
 */
public final class LedgerCodec {
  static final String JOB_PREFIX = "job/";
  static final String CANCEL_PREFIX = "cancel/";
  static final String PROGRESS_PREFIX = "progress/";
  static final String OWNER_KEY = "owner";
  static final String FENCE_KEY = "fence";

  private static final byte[] CANCELLED_VALUE = {'1'};

  /** Creates the Thrift record to encode. */
  @FunctionalInterface
  private interface RecordSupplier {
    TBase<?, ?> get() throws TException;
  }

  /** Converts a Thrift record to its model type. */
  @FunctionalInterface
  private interface RecordDecoder<R, T> {
    T decode(R record);
  }

  private LedgerCodec() {}

  public static Entry job(JobSpec spec) {
    return entry(JOB_PREFIX + spec.id(), () -> JobRecordMapper.toRecord(spec));
  }

  public static Entry cancel(String job) {
    return new Entry(CANCEL_PREFIX + job, CANCELLED_VALUE, 0);
  }

  public static Entry progress(String job, JobProgress progress) {
    return entry(PROGRESS_PREFIX + job, () -> ProgressRecordMapper.toRecord(progress));
  }

  public static Entry owner(OwnerRecord owner) {
    OwnerClaimRecord record =
        new OwnerClaimRecord()
            .setTerm(owner.term())
            .setHost(owner.host())
            .setIncarnation(owner.incarnation())
            .setReleased(owner.released())
            .setAddress(owner.address())
            .setHeartbeat(owner.heartbeat());
    owner
        .leases()
        .ifPresent(
            l ->
                record
                    .setLeasesGranted(l.granted())
                    .setEarlierLeasesMillis(l.earlierLeasesMillis())
                    .setSilentExecutorMillis(
                        l.silentExecutorMillis().isEmpty() ? null : l.silentExecutorMillis())
                    .setLongLeaseMillis(
                        l.longLeaseMillis().isEmpty() ? null : l.longLeaseMillis()));
    return entry(OWNER_KEY, () -> record);
  }

  /** Returns the record by which a new owner fences the earlier writers of a partition. */
  public static Entry fence(long term) {
    return new Entry(FENCE_KEY, Long.toString(term).getBytes(StandardCharsets.US_ASCII), 0);
  }

  /** Returns the key of the submission of a job. */
  public static String jobKey(String job) {
    return JOB_PREFIX + job;
  }

  /** Returns the key of the progress of a job. */
  public static String progressKey(String job) {
    return PROGRESS_PREFIX + job;
  }

  /** Returns the tombstone that deletes the submission of a job. */
  public static Entry jobTombstone(String job) {
    return new Entry(jobKey(job), null, 0);
  }

  /** Returns the tombstone that deletes the cancellation of a job. */
  public static Entry cancelTombstone(String job) {
    return new Entry(CANCEL_PREFIX + job, null, 0);
  }

  /** Returns the tombstone that deletes the progress of a job. */
  public static Entry progressTombstone(String job) {
    return new Entry(progressKey(job), null, 0);
  }

  /** Decodes a submission; empty if the record is of another kind, a tombstone or unreadable. */
  public static Optional<JobSpec> submission(Entry entry) {
    return entry.key().startsWith(JOB_PREFIX) && entry.value() != null
        ? readJob(entry)
        : Optional.empty();
  }

  /** Returns the job that a record cancels; empty if the record is of another kind. */
  public static Optional<String> cancelledJob(Entry entry) {
    return entry.key().startsWith(CANCEL_PREFIX) && entry.value() != null
        ? Optional.of(entry.key().substring(CANCEL_PREFIX.length()))
        : Optional.empty();
  }

  /** Returns the job whose submission a tombstone deletes; empty if the record is another one. */
  public static Optional<String> deletedSubmission(Entry entry) {
    return deletedJob(entry, JOB_PREFIX);
  }

  /** Returns the job whose cancellation a tombstone deletes; empty if the record is another one. */
  public static Optional<String> deletedCancellation(Entry entry) {
    return deletedJob(entry, CANCEL_PREFIX);
  }

  private static Optional<String> deletedJob(Entry entry, String prefix) {
    return entry.key().startsWith(prefix) && entry.value() == null
        ? Optional.of(entry.key().substring(prefix.length()))
        : Optional.empty();
  }

  static Optional<JobSpec> readJob(Entry entry) {
    return read(entry, new JobRecord(), JobRecordMapper::toJobSpec);
  }

  static Optional<StoredProgress> readProgress(Entry entry) {
    return read(entry, new JobProgressRecord(), ProgressRecordMapper::toStoredProgress);
  }

  /** Decodes an owner record; empty if the record is of another kind or unreadable. */
  public static Optional<OwnerRecord> ownerOf(Entry entry) {
    return entry.key().equals(OWNER_KEY) && entry.value() != null
        ? readOwner(entry)
        : Optional.empty();
  }

  static Optional<OwnerRecord> readOwner(Entry entry) {
    return read(
        entry,
        new OwnerClaimRecord(),
        r ->
            new OwnerRecord(
                r.getTerm(),
                r.getHost(),
                r.getIncarnation(),
                r.isSetAddress() ? r.getAddress() : "",
                r.getHeartbeat(),
                r.isReleased(),
                leaseBounds(r)));
  }

  private static Optional<LeaseBounds> leaseBounds(OwnerClaimRecord record) {
    if (!record.isSetLeasesGranted() || !record.isSetEarlierLeasesMillis()) {
      return Optional.empty();
    }
    Map<String, Long> silent =
        record.isSetSilentExecutorMillis() ? record.getSilentExecutorMillis() : Map.of();
    Map<String, Long> longLeases =
        record.isSetLongLeaseMillis() ? record.getLongLeaseMillis() : Map.of();
    return Optional.of(
        new LeaseBounds(
            record.isLeasesGranted(), record.getEarlierLeasesMillis(), silent, longLeases));
  }

  private static Entry entry(String key, RecordSupplier value) {
    try {
      return new Entry(key, ThriftCodec.write(value.get()), 0);
    } catch (TException e) {
      throw new IllegalArgumentException("cannot encode " + key, e);
    }
  }

  /** Decodes a value; logs a warning and returns empty if it cannot be decoded. */
  private static <R extends TBase<R, ?>, T> Optional<T> read(
      Entry entry, R empty, RecordDecoder<R, T> decoder) {
    try {
      return Optional.of(decoder.decode(ThriftCodec.read(entry.value(), empty)));
    } catch (TException | RuntimeException e) {
      // A record that lacks a field, or holds an unknown value, fails in its mapper.
      System.getLogger(LedgerCodec.class.getName())
          .log(
              System.Logger.Level.WARNING,
              "record {0} at offset {1} cannot be read: {2}",
              entry.key(),
              entry.offset(),
              e.getMessage());
      return Optional.empty();
    }
  }
}
