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
 * Keys and values of the ledger's records; values are in Thrift's compact protocol.
 *
 * @since 0.2
 */
public final class LedgerCodec {
  static final String JOB = "job/";
  static final String CANCEL = "cancel/";
  static final String PROGRESS = "progress/";
  static final String PEER = "peer/";
  static final String OWNER = "owner";

  private static final byte[] CANCELLED = {'1'};

  /** Gives the Thrift form of a value. */
  @FunctionalInterface
  private interface Writing {
    TBase<?, ?> record() throws TException;
  }

  /** Reads a value from its Thrift form. */
  @FunctionalInterface
  private interface Mapping<R, T> {
    T map(R read);
  }

  private LedgerCodec() {}

  public static Entry job(JobSpec spec) {
    return entry(JOB + spec.id(), () -> JobRecords.record(spec));
  }

  public static Entry cancel(String job) {
    return new Entry(CANCEL + job, CANCELLED, 0);
  }

  public static Entry progress(String job, JobProgress progress) {
    return entry(PROGRESS + job, () -> ProgressRecords.record(progress));
  }

  public static Entry owner(OwnerRecord owner) {
    OwnerClaimRecord written =
        new OwnerClaimRecord()
            .setTerm(owner.term())
            .setHost(owner.host())
            .setIncarnation(owner.incarnation())
            .setReleased(owner.released());
    return entry(OWNER, () -> written);
  }

  public static Entry peer(PeerRecord peer) {
    PeerAddressRecord written =
        new PeerAddressRecord()
            .setHost(peer.host())
            .setIncarnation(peer.incarnation())
            .setAddress(peer.address())
            .setMilliProcessors(peer.milliProcessors());
    return entry(PEER + peer.host(), () -> written);
  }

  /** Returns records that drop everything about a job, the last one the job itself. */
  public static List<Entry> dropped(String job) {
    return Stream.of(CANCEL, PROGRESS, JOB).map(key -> new Entry(key + job, null, 0)).toList();
  }

  static Optional<JobSpec> readJob(Entry entry) {
    return read(entry, new JobRecord(), JobRecords::spec);
  }

  static Optional<StoredProgress> readProgress(Entry entry) {
    return read(entry, new JobProgressRecord(), ProgressRecords::stored);
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

  private static Entry entry(String key, Writing value) {
    try {
      return new Entry(key, ThriftBytes.write(value.record()), 0);
    } catch (TException e) {
      throw new IllegalArgumentException("cannot encode " + key, e);
    }
  }

  /** Reads a value; empty, with a line in the log, if it is not of that form. */
  private static <R extends TBase<R, ?>, T> Optional<T> read(
      Entry entry, R empty, Mapping<R, T> mapping) {
    try {
      return Optional.of(mapping.map(ThriftBytes.read(entry.value(), empty)));
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
