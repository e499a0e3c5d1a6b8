package io.cactusspring.soak;

import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** One run of a gang: its members begin to work together and share its progress. */
final class GangRun implements Progress {
  /** A member ends within this time after another one has ended. */
  static final int MAX_BREAK_MILLIS = 400;

  /** What a run belongs to. */
  record Identity(StepId gang, int run, StepSpec step) {}

  /**
   * A member that an executor has started.
   *
   * @param durationFactor duration of the work on its executor relative to a normal one
   * @param end ends the member, unless it has ended
   */
  record Member(TaskId task, double durationFactor, Consumer<EndReason> end) {}

  private enum Phase {
    WAITING,
    WORKING,
    BREAKING
  }

  private final Timers timers;
  private final GangRuns.Plan plan;
  private final Identity identity;
  private final long savedMillis;
  private final Random random;
  private final long totalMillis;
  private final List<Member> members = new ArrayList<>();
  private Phase phase = Phase.WAITING;
  private boolean begun;
  private long begunAt;
  private long workedMillis;
  private double durationFactor = 1;
  private long lastFailureAt;

  /**
   * Creates a run that no member has joined.
   *
   * @param savedMillis work that was done before the checkpoint that the run starts with
   */
  GangRun(Timers timers, GangRuns.Plan plan, Identity identity, long savedMillis, Random random) {
    this.timers = timers;
    this.plan = plan;
    this.identity = identity;
    this.savedMillis = savedMillis;
    this.random = random;
    totalMillis = plan.millis(identity.gang(), identity.step());
  }

  /** Adds a member, which waits until all members are there. */
  void join(Member member) {
    members.add(member);
    if (phase == Phase.BREAKING) {
      breakSoon(member);
      return;
    }
    timers.after(GangChecks.ALONE_MILLIS, () -> endAlone(member));
    if (members.stream().map(Member::task).distinct().count() == identity.step().tasks()) {
      begin();
    }
  }

  private void endAlone(Member member) {
    if (!begun) {
      member.end().accept(EndReason.ALONE);
    }
  }

  private void begin() {
    phase = Phase.WORKING;
    begun = true;
    begunAt = timers.nowMillis();
    durationFactor = members.stream().mapToDouble(Member::durationFactor).max().orElse(1);
    if (identity.step().longRunning() || tasks().anyMatch(plan::crashes)) {
      return;
    }
    long duration = Math.round((totalMillis - savedMillis) * durationFactor);
    Optional<GangFailure> failure = plan.failure(identity.gang(), identity.step(), identity.run());
    if (failure.isPresent()) {
      timers.after(duration * failure.get().percent() / 100, () -> fail(failure.get().delays()));
    } else {
      timers.after(duration, this::finish);
    }
  }

  private Stream<TaskId> tasks() {
    StepId gang = identity.gang();
    return IntStream.range(0, identity.step().tasks())
        .mapToObj(i -> new TaskId(gang.job(), gang.occurrence(), gang.step(), i));
  }

  /** Ends members as failed. Those whose turn comes later may have ended in another way by then. */
  private void fail(Map<Integer, Long> delays) {
    if (phase == Phase.WORKING) {
      lastFailureAt = timers.nowMillis() + Collections.max(delays.values());
      members.stream()
          .filter(m -> delays.containsKey(m.task().index()))
          .forEach(m -> endFailed(m, delays.get(m.task().index())));
    }
  }

  /** Returns whether members have failed and others are to, unless they end otherwise before. */
  boolean failsFurther() {
    return timers.nowMillis() < lastFailureAt;
  }

  private void endFailed(Member member, long delay) {
    if (delay == 0) {
      member.end().accept(EndReason.FAILED);
    } else {
      timers.after(delay, () -> member.end().accept(EndReason.FAILED));
    }
  }

  private void finish() {
    if (phase == Phase.WORKING) {
      members.forEach(m -> m.end().accept(EndReason.DONE));
    }
  }

  /** Takes note that a member has ended, or was lost with its executor, before it was done. */
  void memberLeft() {
    if (phase != Phase.BREAKING) {
      workedMillis = workedMillis();
      phase = Phase.BREAKING;
      members.forEach(this::breakSoon);
    }
  }

  private void breakSoon(Member member) {
    timers.after(random.nextInt(MAX_BREAK_MILLIS + 1), () -> member.end().accept(EndReason.BROKEN));
  }

  private long workedMillis() {
    return switch (phase) {
      case WAITING -> 0;
      case WORKING -> Math.round((timers.nowMillis() - begunAt) / durationFactor);
      case BREAKING -> workedMillis;
    };
  }

  @Override
  public long doneMillis() {
    return savedMillis + workedMillis();
  }

  @Override
  public long totalMillis() {
    return totalMillis;
  }
}
