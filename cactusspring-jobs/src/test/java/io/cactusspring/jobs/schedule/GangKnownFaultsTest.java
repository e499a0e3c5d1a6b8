package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests of faults of gangs that a review found; those that are tagged are listed in KNOWN-RED.txt.
 */
final class GangKnownFaultsTest {
  private static final String JOB = "j1";

  /** A gang with three attempts, for cases without crashes. */
  private static final class Owners extends GangFixture {
    Owners() {
      super(3);
    }
  }

  /**
   * Guards against a gang that is done and given up all the same: an executor crashes before its
   * end is read, and that crash is judged before the end of another member is read.
   */
  @Tag("known-red")
  @Test
  void gangThatIsDoneIsNotGivenUpForTheCrashOfOneExecutor() {
    GangFleet fleet = new GangFleet(GangFleet.MEMBERS + 2);
    fleet.submit(GangFleet.gangs(JOB, 1));
    fleet.startRun();
    fleet.store();
    TaskProgress none = new TaskProgress(false, 3, 0, "", 0, "");
    List<TaskProgress> members =
        List.of(new TaskProgress(false, 3, 0, "", 0, "", 2, 0, 0), none, none, none);
    fleet.replaceStored(JOB, new StepProgress(0, 0, false, members, 0, 3));
    fleet.takeOver();
    fleet.startRun();
    List<String> on = IntStream.range(0, 4).mapToObj(fleet::executorOf).toList();
    on.forEach(x -> fleet.end(x, EndReason.DONE, ""));
    fleet.crash(on.get(0));
    fleet.report(on.get(0));
    fleet.report(on.get(1));
    fleet.store();
    assertThat(fleet.entry(JOB).state()).isEqualTo(JobState.COMPLETED);
  }

  /** Guards against a start after as many failed runs as a new configuration allows. */
  @Test
  void nothingStartsOnceTheLimitIsLoweredToTheFailedRuns() {
    GangFixture gang = new Owners();
    gang.submit();
    for (int run = 1; run <= 2; run++) {
      assertThat(gang.startRun()).isEqualTo(run);
      gang.fail("x0", "x1");
    }
    gang.configure(2);
    assertThat(gang.startRun()).isEqualTo(0);
  }

  /**
   * Guards against a run that counts twice because a host of the earlier version owned the
   * executors for a moment while members of it were being stopped, and dropped the number of the
   * run.
   */
  @Tag("known-red")
  @Test
  void runCountsOnceThoughAnEarlierVersionDropsItsNumber() {
    GangFixture gang = new Owners();
    gang.submit();
    gang.startRun();
    gang.busy().forEach(e -> gang.end(e, EndReason.BROKEN));
    assertThat(gang.startRun()).isEqualTo(2);
    gang.fail("x2");
    gang.store();
    assertThat(gang.storedFailures()).isEqualTo(1);
    StepProgress stored = gang.storedGang();
    StepProgress dropped = new StepProgress(0, 0, false, stored.tasks());
    gang.store(
        new JobProgress(gang.beginTerm(), 1, JobState.RUNNING, true, List.of(dropped), "", ""));
    gang.takeOver();
    gang.fail("x1", "x3");
    gang.store();
    assertThat(gang.storedFailures()).isEqualTo(1);
  }
}
