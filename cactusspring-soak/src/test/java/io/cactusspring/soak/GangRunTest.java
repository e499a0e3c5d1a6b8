package io.cactusspring.soak;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against stand-ins whose gangs behave in another way than the platform's pages say. */
final class GangRunTest {
  private static final StepSpec STEP = History.step(3, 1_000).gang(true).checkpoints(true).build();
  private static final long WORK_MILLIS = 1_000;

  private final VirtualTimers timers = new VirtualTimers();
  private final Map<Integer, EndReason> ends = new HashMap<>();
  private final Map<Integer, Long> endedAt = new HashMap<>();
  private Optional<GangFailure> failure = Optional.empty();
  private final GangRuns runs = new GangRuns(timers, new FixedPlan(), 1);

  private final class FixedPlan implements GangRuns.Plan {
    @Override
    public long millis(StepId gang, StepSpec step) {
      return WORK_MILLIS;
    }

    @Override
    public Optional<GangFailure> failure(StepId gang, StepSpec step, int run) {
      return failure;
    }

    @Override
    public boolean crashes(TaskId task) {
      return false;
    }
  }

  private GangRun run(String checkpoint) {
    return runs.run(History.task(0, 0), 1, STEP, checkpoint);
  }

  private void join(int index, double durationFactor) {
    GangRun run = run("");
    run.join(
        new GangRun.Member(
            History.task(0, index), durationFactor, reason -> end(run, index, reason)));
  }

  private void end(GangRun run, int index, EndReason reason) {
    if (ends.putIfAbsent(index, reason) == null) {
      endedAt.put(index, timers.nowMillis());
      if (reason != EndReason.DONE) {
        run.memberLeft();
      }
    }
  }

  private void joinAll() {
    for (int i = 0; i < 3; i++) {
      join(i, 1);
    }
  }

  @Test
  void workBeginsOnceAllMembersAreThereAndEndsForAllAtOnce() {
    join(0, 1);
    join(1, 1.5);
    timers.pass(700);
    assertThat(run("").doneMillis()).isEqualTo(0);
    join(2, 1);
    timers.pass(750);
    assertThat(run("").doneMillis()).isEqualTo(500);
    timers.pass(10_000);
    assertThat(ends.values()).containsExactly(EndReason.DONE, EndReason.DONE, EndReason.DONE);
    assertThat(endedAt.values()).containsExactly(2_200L, 2_200L, 2_200L);
  }

  @Test
  void workContinuesFromTheCheckpoint() {
    assertThat(run("600").doneMillis()).isEqualTo(600);
    joinAll();
    timers.pass(400);
    assertThat(ends).hasSize(3);
  }

  @Test
  void memberThatWaitsTooLongEndsAloneAndTheOthersBreak() {
    join(0, 1);
    timers.pass(1_000);
    join(1, 1);
    timers.pass(GangChecks.ALONE_MILLIS - 1_000);
    assertThat(ends).containsExactly(0, EndReason.ALONE);
    timers.pass(GangRun.MAX_BREAK_MILLIS);
    assertThat(ends).containsExactly(0, EndReason.ALONE, 1, EndReason.BROKEN);
  }

  @Test
  void membersBreakAfterAnotherOneHasEndedAndMakeNoProgress() {
    joinAll();
    timers.pass(300);
    end(run(""), 1, EndReason.LAPSED);
    timers.pass(GangRun.MAX_BREAK_MILLIS);
    assertThat(run("").doneMillis()).isEqualTo(300);
    assertThat(ends).containsExactly(0, EndReason.BROKEN, 1, EndReason.LAPSED, 2, EndReason.BROKEN);
  }

  @Test
  void memberThatStartsAfterTheGangHasBrokenBreaksToo() {
    join(0, 1);
    end(run(""), 0, EndReason.STOPPED);
    timers.pass(1_000);
    join(1, 1);
    timers.pass(GangRun.MAX_BREAK_MILLIS);
    assertThat(ends).containsExactly(0, EndReason.STOPPED, 1, EndReason.BROKEN);
  }

  @Test
  void severalMembersFailWithinTheSameMoment() {
    failure = Optional.of(new GangFailure(50, Map.of(0, 0L, 2, 0L)));
    joinAll();
    timers.pass(10_000);
    assertThat(ends).containsExactly(0, EndReason.FAILED, 1, EndReason.BROKEN, 2, EndReason.FAILED);
    assertThat(endedAt).containsEntry(0, 500L);
    assertThat(endedAt).containsEntry(2, 500L);
  }

  @Test
  void memberThatWouldFailLaterMayBreakFirst() {
    failure = Optional.of(new GangFailure(50, Map.of(0, 0L, 2, GangRun.MAX_BREAK_MILLIS + 1L)));
    joinAll();
    timers.pass(10_000);
    assertThat(ends).containsExactly(0, EndReason.FAILED, 1, EndReason.BROKEN, 2, EndReason.BROKEN);
  }

  @Test
  void furtherFailuresAreToComeUntilTheLastMemberHasHadItsTurn() {
    failure = Optional.of(new GangFailure(50, Map.of(0, 0L, 2, 100L)));
    joinAll();
    timers.pass(499);
    assertThat(runs.failsFurther(History.task(0, 0), 1)).isFalse();
    timers.pass(1);
    assertThat(runs.failsFurther(History.task(0, 0), 1)).isTrue();
    timers.pass(100);
    assertThat(runs.failsFurther(History.task(0, 0), 1)).isFalse();
  }
}
