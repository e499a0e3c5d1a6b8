package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.port.KeyedTopic.Entry;
import io.cactusspring.protocol.ThriftCodec;
import io.cactusspring.protocol.gen.ledger.JobProgressRecord;
import io.cactusspring.protocol.gen.ledger.StepProgressRecord;
import io.cactusspring.protocol.gen.ledger.StepsProgressRecord;
import io.cactusspring.protocol.gen.ledger.TaskProgressRecord;
import java.util.function.Consumer;
import org.apache.thrift.TException;

/** Faults of the stored attempts of gangs, by which a test shows that its checks notice them. */
public enum StoredAttempts {
  /** The last counted run is not stored, so that the record reads as one of an earlier version. */
  WITHOUT_FIELD(StepProgressRecord::unsetFailedRun),

  /** No run is stored as counted: a new owner counts a run again for its other members. */
  WITHOUT_COUNTED_RUN(StoredAttempts::countNoRun),

  /** A run that is active counts as counted once an earlier one has failed. */
  WITH_ACTIVE_RUN_COUNTED(StoredAttempts::countLastRun);

  private static final String PROGRESS_PREFIX = "progress/";

  private final Consumer<StepProgressRecord> change;

  StoredAttempts(Consumer<StepProgressRecord> change) {
    this.change = change;
  }

  private static void countNoRun(StepProgressRecord step) {
    if (step.getFailedRun() > 0) {
      step.setFailedRun(-1);
    }
  }

  private static void countLastRun(StepProgressRecord step) {
    if (step.getFailedRun() > 0) {
      step.setFailedRun(
          step.getTasks().stream().mapToInt(TaskProgressRecord::getRun).max().orElse(0));
    }
  }

  /** Returns a record as it is stored with the fault. */
  Entry store(Entry entry) {
    if (!entry.key().startsWith(PROGRESS_PREFIX) || entry.value() == null) {
      return entry;
    }
    try {
      JobProgressRecord job = ThriftCodec.read(entry.value(), new JobProgressRecord());
      if (!job.isSetSteps()) {
        return entry;
      }
      StepsProgressRecord steps = ThriftCodec.read(job.getSteps(), new StepsProgressRecord());
      steps.getSteps().forEach(change);
      job.setSteps(ThriftCodec.write(steps));
      return new Entry(entry.key(), ThriftCodec.write(job), entry.offset());
    } catch (TException e) {
      throw new IllegalStateException(e);
    }
  }
}
