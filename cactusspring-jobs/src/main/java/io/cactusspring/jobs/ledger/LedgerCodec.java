package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.protocol.gen.ledger.JobProgressRecord;
import io.cactusspring.protocol.gen.ledger.JobRecord;
import io.cactusspring.protocol.gen.ledger.OwnerClaimRecord;
import io.cactusspring.protocol.gen.ledger.PeerAddressRecord;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
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
  static final String PEER_PREFIX = "peer/";
  static final String OWNER_KEY = "owner";

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
            .setReleased(owner.released());
    return entry(OWNER_KEY, () -> record);
  }

  public static Entry peer(PeerRecord peer) {
    PeerAddressRecord record =
        new PeerAddressRecord()
            .setHost(peer.host())
            .setIncarnation(peer.incarnation())
            .setAddress(peer.address())
            .setMilliProcessors(peer.milliProcessors());
    return entry(PEER_PREFIX + peer.host(), () -> record);
  }

  /** Returns the tombstones that delete all records of a job; the submission's comes last. */
  public static List<Entry> tombstones(String job) {
    return Stream.of(CANCEL_PREFIX, PROGRESS_PREFIX, JOB_PREFIX)
        .map(key -> new Entry(key + job, null, 0))
        .toList();
  }

  static Optional<JobSpec> readJob(Entry entry) {
    return read(entry, new JobRecord(), JobRecordMapper::toJobSpec);
  }

  static Optional<StoredProgress> readProgress(Entry entry) {
    return read(entry, new JobProgressRecord(), ProgressRecordMapper::toStoredProgress);
  }

  static Optional<OwnerRecord> readOwner(Entry entry) {
    return read(
        entry,
        new OwnerClaimRecord(),
        r -> new OwnerRecord(r.getTerm(), r.getHost(), r.getIncarnation(), r.isReleased()));
  }

  static Optional<PeerRecord> readPeer(Entry entry) {
    return read(
        entry,
        new PeerAddressRecord(),
        r ->
            new PeerRecord(
                r.getHost(), r.getIncarnation(), r.getAddress(), r.getMilliProcessors()));
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
    } catch (TException | IllegalArgumentException e) {
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
