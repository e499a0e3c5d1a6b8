package io.cactusspring.jobs.ledger;

import io.cactusspring.protocol.ThriftCodec;
import io.cactusspring.protocol.gen.ledger.JobProgressRecord;
import io.cactusspring.protocol.gen.ledger.StepProgressRecord;
import io.cactusspring.protocol.gen.ledger.StepsProgressRecord;
import io.cactusspring.protocol.gen.ledger.TaskProgressRecord;
import java.util.List;
import java.util.stream.Stream;
import org.apache.thrift.TException;

/** Converts the progress of jobs to Thrift records and back. */
final class ProgressRecordMapper {
  private ProgressRecordMapper() {}

  static JobProgressRecord toRecord(JobProgress progress) throws TException {
    JobProgressRecord record =
        new JobProgressRecord()
            .setTerm(progress.term())
            .setState(JobStateMapper.toCode(progress.state()));
    record.setVersion(progress.version());
    if (progress.started()) {
      record.setStarted(true);
    }
    if (!progress.queue().isEmpty()) {
      record.setQueue(progress.queue());
    }
    if (!progress.organisation().isEmpty()) {
      record.setOrganisation(progress.organisation());
    }
    if (!progress.steps().isEmpty()) {
      List<StepProgressRecord> steps =
          progress.steps().stream().map(ProgressRecordMapper::toRecord).toList();
      record.setSteps(ThriftCodec.write(new StepsProgressRecord().setSteps(steps)));
    }
    return record;
  }

  static StoredProgress toStoredProgress(JobProgressRecord record) {
    byte[] steps = record.isSetSteps() ? record.getSteps() : new byte[0];
    return new StoredProgress(
        record.getTerm(),
        record.getVersion(),
        JobStateMapper.toState(record.getState()),
        record.isStarted(),
        steps,
        record.isSetQueue() ? record.getQueue() : "",
        record.isSetOrganisation() ? record.getOrganisation() : "");
  }

  /**
   * Decodes the steps of a progress record.
   *
   * @throws TException if the bytes are not an encoded {@link StepsProgressRecord}
   */
  static List<StepProgress> decodeSteps(byte[] bytes) throws TException {
    StepsProgressRecord record = ThriftCodec.read(bytes, new StepsProgressRecord());
    return record.isSetSteps()
        ? record.getSteps().stream().map(ProgressRecordMapper::toStepProgress).toList()
        : List.of();
  }

  private static StepProgressRecord toRecord(StepProgress step) {
    StepProgressRecord record = new StepProgressRecord();
    if (step.occurrence() > 0) {
      record.setOccurrence(step.occurrence());
    }
    if (step.step() > 0) {
      record.setStep(step.step());
    }
    if (step.done()) {
      record.setDone(true);
    }
    if (!step.tasks().isEmpty()) {
      record.setTasks(step.tasks().stream().map(ProgressRecordMapper::toRecord).toList());
    }
    if (step.failedRun() > 0) {
      record.setFailedRun(step.failedRun());
    }
    if (step.crashedRun() > 0) {
      record.setCrashedRun(step.crashedRun());
    }
    return record;
  }

  private static StepProgress toStepProgress(StepProgressRecord record) {
    Stream<TaskProgressRecord> tasks =
        record.isSetTasks() ? record.getTasks().stream() : Stream.of();
    return new StepProgress(
        record.getOccurrence(),
        record.getStep(),
        record.isDone(),
        tasks.map(ProgressRecordMapper::toTaskProgress).toList(),
        record.getFailedRun(),
        record.getCrashedRun());
  }

  private static TaskProgressRecord toRecord(TaskProgress task) {
    TaskProgressRecord record = new TaskProgressRecord();
    if (task.done()) {
      record.setDone(true);
    }
    if (task.run() > 0) {
      record.setRun(task.run());
    }
    if (task.failures() > 0) {
      record.setFailures(task.failures());
    }
    if (!task.executor().isEmpty()) {
      record.setExecutor(task.executor()).setBootMillis(task.bootMillis());
    }
    if (!task.checkpoint().isEmpty()) {
      record.setCheckpoint(task.checkpoint());
    }
    if (task.crashes() > 0) {
      record.setCrashes(task.crashes());
    }
    if (task.earlyCrashes() > 0) {
      record.setEarlyCrashes(task.earlyCrashes());
    }
    if (task.otherCrashes() > 0) {
      record.setOtherCrashes(task.otherCrashes());
    }
    return record;
  }

  private static TaskProgress toTaskProgress(TaskProgressRecord record) {
    return new TaskProgress(
        record.isDone(),
        record.getRun(),
        record.getFailures(),
        record.getExecutor(),
        record.getBootMillis(),
        record.getCheckpoint(),
        record.getCrashes(),
        record.getEarlyCrashes(),
        record.getOtherCrashes());
  }
}
