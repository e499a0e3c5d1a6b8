package io.cactusspring.soak;

import static com.google.common.truth.Truth.assertThat;
import static io.cactusspring.soak.History.task;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.ActiveRun;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import io.vertx.core.Future;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a stand-in executor that behaves in another way than the platform's pages say. */
final class SoakExecutorTest {
  private static final long WORK_MILLIS = 2_000;
  private static final Site.ExecutorShape SHAPE =
      new Site.ExecutorShape("x0", "z1", new Resources(4_000, 8_192, 0), 1, 100);
  private static final TaskId TASK = task(0, 0);

  @TempDir private Path folder;
  private final VirtualTimers timers = new VirtualTimers();
  private final SoakOracle oracle =
      new SoakOracle(
          new SoakOracle.Settings(List.of(), List.of(), id -> true, 5_000, 5_000, false, false));
  private Recorder recorder;
  private SoakExecutor executor;

  @BeforeEach
  void boot() throws IOException {
    recorder = new Recorder(oracle, folder.resolve("observations.log"));
    recorder.record(
        at ->
            new Observation.Submitted(
                at, History.JOB, "org", History.QUEUE, List.of(History.step(2, 1_000).build())));
    executor = executor(SHAPE);
  }

  private SoakExecutor executor(Site.ExecutorShape shape) {
    return new SoakExecutor(
        shape, timers, recorder, new FixedWork(), new GangRuns(timers, null, 1));
  }

  @AfterEach
  void close() {
    recorder.close();
  }

  private static final class FixedWork implements SoakExecutor.Work {
    @Override
    public StepSpec step(TaskId task) {
      return History.step(2, 1_000).build();
    }

    @Override
    public long millis(TaskId task) {
      return WORK_MILLIS;
    }

    @Override
    public boolean fails(TaskId task, int run) {
      return false;
    }

    @Override
    public OptionalLong crashMillis(TaskId task) {
      return OptionalLong.empty();
    }

    @Override
    public void acknowledged(EndedRun end) {}

    @Override
    public void crashed(SoakExecutor executor) {}

    @Override
    public boolean permits(String ticket, TaskId task, String executor) {
      return true;
    }
  }

  private CommandResult start(TaskId task, int run, long leaseEnd) {
    return executor.start(new StartRequest(task, run, "", leaseEnd, 1, "", ""));
  }

  private LeaseRenewalResult.Report renew(long leaseEnd, long acknowledgedEnd) {
    return (LeaseRenewalResult.Report)
        executor.renewLeases(new LeaseRenewalRequest(leaseEnd, 1, acknowledgedEnd, 0)).result();
  }

  private static List<TaskId> tasks(LeaseRenewalResult.Report report) {
    return report.running().stream().map(ActiveRun::task).toList();
  }

  private Set<Rule> broken() {
    return Set.copyOf(oracle.violations().stream().map(Violation::rule).toList());
  }

  @Test
  void startOfAnOldRunExtendsTheLease() {
    start(TASK, 2, 500);
    assertThat(start(TASK, 1, 1_500)).isEqualTo(new CommandResult.Refused(Refusal.STALE_RUN));
    timers.pass(1_000);
    assertThat(tasks(renew(0, 0))).containsExactly(TASK);
  }

  @Test
  void callAfterTheLeaseHasLapsedDoesNotRenewIt() {
    start(TASK, 1, 500);
    timers.pass(501);
    LeaseRenewalResult.Report report = renew(1_500, 0);
    assertThat(report.running()).isEmpty();
    assertThat(report.ended().get(0).reason()).isEqualTo(EndReason.LAPSED);
  }

  @Test
  void leaseEndsLaterOnASlowClock() {
    executor = executor(new Site.ExecutorShape("x0", "z1", SHAPE.capacity(), 1, 98));
    start(TASK, 1, 1_000);
    timers.pass(1_019);
    assertThat(tasks(renew(0, 0))).containsExactly(TASK);
    timers.pass(30);
    assertThat(renew(0, 0).running()).isEmpty();
  }

  /** The later boot would tell of itself on a call that the earlier one had taken. */
  @Test
  void callThatWaitsIsNotAnsweredByALaterBoot() {
    Future<LeaseRenewalResult> answer =
        executor.renewLeases(new LeaseRenewalRequest(5_000, 1, 0, 1_000));
    executor.crash();
    executor.boot();
    timers.pass(2_000);
    assertThat(answer.isComplete()).isFalse();
  }

  @Test
  void acknowledgementOfAnEndThatWasListedIsNoViolation() {
    start(TASK, 1, 5_000);
    timers.pass(WORK_MILLIS);
    assertThat(renew(0, 0).ended()).hasSize(1);
    assertThat(renew(0, 1).ended()).isEmpty();
    assertThat(broken()).isEmpty();
  }

  @Test
  void acknowledgementThatDeletesAnEndOfALaterBootIsFound() {
    start(TASK, 1, 5_000);
    timers.pass(WORK_MILLIS);
    renew(0, 0);
    executor.crash();
    executor.boot();
    start(task(0, 1), 1, 5_000);
    timers.pass(WORK_MILLIS);
    renew(0, 1);
    assertThat(broken()).containsExactly(Rule.UNREAD_END_DELETED);
  }
}
