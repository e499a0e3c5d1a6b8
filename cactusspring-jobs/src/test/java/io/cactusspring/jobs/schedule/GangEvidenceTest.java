package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what the runs of a gang say about the executors of its members. */
final class GangEvidenceTest {
  private final GangFleet fleet = new GangFleet(GangFleet.MEMBERS);

  private List<String> excluded() {
    return fleet.decisions().stream().filter(d -> d.startsWith("EXECUTOR_QUARANTINED")).toList();
  }

  private void start(String job) {
    fleet.submit(GangFleet.gangs(job, 1));
    assertThat(fleet.startRun()).hasSize(GangFleet.MEMBERS);
  }

  /** Lets the member on an executor fail, and ends the job. */
  private void failOn(String executor, String job) {
    start(job);
    fleet.end(executor, EndReason.FAILED, "");
    fleet.report(executor);
    fleet.cancel(job);
  }

  /** Guards against an executor that is excluded although a gang was done on it in between. */
  @Test
  void gangThatIsDoneSpeaksForTheExecutorsOfAllMembers() {
    failOn("x1", "j1");
    failOn("x1", "j2");
    start("j3");
    for (String executor : List.of("x0", "x1", "x2", "x3")) {
      fleet.end(executor, EndReason.DONE, "");
      fleet.report(executor);
    }
    failOn("x1", "j4");
    assertThat(excluded()).isEmpty();
  }

  /** Guards against an executor that fails members of all gangs and is never excluded. */
  @Test
  void executorOnWhichMembersOfSeveralGangsFailIsExcluded() {
    failOn("x1", "j1");
    failOn("x1", "j2");
    failOn("x1", "j3");
    assertThat(excluded()).hasSize(1);
  }

  /** Guards against a run that counts against the executor of each member that fails in it. */
  @Test
  void runOfWhichSeveralMembersFailIsEvidenceAgainstOneExecutor() {
    for (int i = 0; i < 3; i++) {
      start("j" + i);
      List<String> executors = List.of("x0", "x1", "x2", "x3");
      executors.forEach(e -> fleet.end(e, EndReason.FAILED, ""));
      executors.forEach(fleet::report);
      fleet.cancel("j" + i);
    }
    assertThat(excluded()).hasSize(1);
  }
}
