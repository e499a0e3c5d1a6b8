package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.port.StoreLimits;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that the store can hold the progress of a job, whatever its steps are. */
final class ProgressRecordSizeTest {
  private static final int TASKS = SchedulerSettings.builder().build().maxBegunTasks();

  /** Guards against a record that the store refuses, after which nothing else is stored. */
  @Test
  void recordOfAsManyGangsAsMayHaveBegunFitsInTheStore() {
    List<StepProgress> steps = IntStream.range(0, TASKS).mapToObj(i -> gangOfOne(i)).toList();
    JobProgress progress =
        new JobProgress(Long.MAX_VALUE, TASKS, JobState.RUNNING, true, steps, "", "");
    assertThat(LedgerCodec.progress("j".repeat(16), progress).bytes())
        .isAtMost(StoreLimits.DEFAULT.recordBytes());
  }

  /** Returns the progress of a gang with one member, of which each field is long. */
  private static StepProgress gangOfOne(int occurrence) {
    TaskProgress member =
        new TaskProgress(
            false, 20_000, 20_000, "x".repeat(48), 1_800_000_000_000L, "c".repeat(16), 4, 4, 4);
    return new StepProgress(occurrence, 100, false, List.of(member), 20_000, 20_000);
  }
}
