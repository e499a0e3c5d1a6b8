package io.cactusspring.jobs.ledger;

import io.cactusspring.jobs.model.JobState;
import io.cactusspring.protocol.gen.ledger.JobProgressRecord;
import io.cactusspring.protocol.gen.ledger.JobStateCode;
import io.cactusspring.protocol.gen.ledger.StepProgressRecord;
import io.cactusspring.protocol.gen.ledger.StepsProgressRecord;
import io.cactusspring.protocol.gen.ledger.TaskProgressRecord;
import java.util.List;
import java.util.stream.Stream;
import org.apache.thrift.TException;

/** Maps what an owner has stored about a job to its Thrift form and back. */
final class ProgressRecords {
  private ProgressRecords() {}

  static JobProgressRecord record(JobProgress progress) throws TException {
    JobProgressRecord written =
        new JobProgressRecord().setTerm(progress.term()).setState(code(progress.state()));
    if (progress.started()) {
      written.setStarted(true);
    }
    if (!progress.steps().isEmpty()) {
      List<StepProgressRecord> steps =
          progress.steps().stream().map(ProgressRecords::record).toList();
      written.setSteps(ThriftBytes.write(new StepsProgressRecord().setSteps(steps)));
    }
    return written;
  }

  static StoredProgress stored(JobProgressRecord read) {
    byte[] steps = read.isSetSteps() ? read.getSteps() : new byte[0];
    return new StoredProgress(read.getTerm(), state(read.getState()), read.isStarted(), steps);
  }

  static List<StepProgress> steps(byte[] bytes) throws TException {
    StepsProgressRecord read = ThriftBytes.read(bytes, new StepsProgressRecord());
    return read.isSetSteps()
        ? read.getSteps().stream().map(ProgressRecords::step).toList()
        : List.of();
  }

  private static StepProgressRecord record(StepProgress step) {
    StepProgressRecord written = new StepProgressRecord();
    if (step.occurrence() > 0) {
      written.setOccurrence(step.occurrence());
    }
    if (step.step() > 0) {
      written.setStep(step.step());
    }
    if (step.done()) {
      written.setDone(true);
    }
    if (!step.tasks().isEmpty()) {
      written.setTasks(step.tasks().stream().map(ProgressRecords::record).toList());
    }
    return written;
  }

  private static StepProgress step(StepProgressRecord read) {
    Stream<TaskProgressRecord> tasks = read.isSetTasks() ? read.getTasks().stream() : Stream.of();
    return new StepProgress(
        read.getOccurrence(),
        read.getStep(),
        read.isDone(),
        tasks.map(ProgressRecords::task).toList());
  }

  private static TaskProgressRecord record(TaskProgress task) {
    TaskProgressRecord written = new TaskProgressRecord();
    if (task.done()) {
      written.setDone(true);
    }
    if (task.run() > 0) {
      written.setRun(task.run());
    }
    if (task.failures() > 0) {
      written.setFailures(task.failures());
    }
    if (!task.executor().isEmpty()) {
      written.setExecutor(task.executor()).setBootMillis(task.bootMillis());
    }
    if (!task.checkpoint().isEmpty()) {
      written.setCheckpoint(task.checkpoint());
    }
    return written;
  }

  private static TaskProgress task(TaskProgressRecord read) {
    return new TaskProgress(
        read.isDone(),
        read.getRun(),
        read.getFailures(),
        read.getExecutor(),
        read.getBootMillis(),
        read.getCheckpoint());
  }

  private static JobStateCode code(JobState state) {
    return switch (state) {
      case PENDING -> JobStateCode.PENDING;
      case RUNNING -> JobStateCode.RUNNING;
      case COMPLETED -> JobStateCode.COMPLETED;
      case FAILED -> JobStateCode.FAILED;
      case CANCELLED -> JobStateCode.CANCELLED;
    };
  }

  private static JobState state(JobStateCode code) {
    return switch (code) {
      case PENDING -> JobState.PENDING;
      case RUNNING -> JobState.RUNNING;
      case COMPLETED -> JobState.COMPLETED;
      case FAILED -> JobState.FAILED;
      case CANCELLED -> JobState.CANCELLED;
    };
  }
}
