package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The runs of gangs on all simulated executors. The members of a run work, and make checkpoints,
 * only together, from the moment when all of them are there; they are done together; and when one
 * ends otherwise, the others end shortly after.
 */
final class GangRuns {
  /** How long a member waits for the others. */
  static final long TIMEOUT_MILLIS = 3_000;

  /** The members that are left end within this time after the first end. */
  static final long MAX_BREAK_MILLIS = 400;

  /** Members that fail for the same cause do so within this time. */
  private static final int COMMON_FAILURE_MILLIS = 30;

  /** A member of a run on its executor. */
  interface Member {
    TaskId id();

    StepSpec spec();

    int run();

    /** Returns the checkpoint that the start carried; empty if there was none. */
    String carried();

    /** Returns whether the member makes no progress and never ends by itself. */
    boolean isStalled();

    /** Returns the duration of the work on the member's executor, without a checkpoint. */
    long workMillis();

    /** Decides how the member ends by itself. */
    EndReason ownEnd();

    /** Ends the member, unless it has ended before. */
    void end(EndReason reason);
  }

  private record Key(StepId step, int run) {}

  private final ClusterSimulation simulation;
  private final VirtualTime time;

  /** Makes all choices that concern gangs alone, so that other work does not depend on them. */
  private final SplittableRandom random;

  private final Map<Key, GangRun> runs = new HashMap<>();
  private double earlyFailureRate;

  GangRuns(ClusterSimulation simulation, long seed) {
    this.simulation = simulation;
    time = simulation.time();
    random = new SplittableRandom(seed);
  }

  /** Sets the fraction of runs that fail before their work is done. */
  void earlyFailureRate(double rate) {
    earlyFailureRate = rate;
  }

  /** Records that an executor has started a member. */
  void started(Member member) {
    run(member).join(member);
  }

  /** Records that a member has ended, also if its executor has crashed under it or has left. */
  void ended(Member member, EndReason reason) {
    run(member).ended(member, reason);
  }

  /** Returns the checkpoint of a member; the value of any member is valid for all of them. */
  String checkpoint(Member member) {
    return run(member).checkpoint(member);
  }

  /** Returns the milliseconds of work that a member has behind it, with earlier runs. */
  long workedMillis(Member member) {
    return run(member).workedMillis(member);
  }

  private GangRun run(Member member) {
    TaskId id = member.id();
    StepId step = new StepId(id.job(), id.occurrence(), id.step());
    return runs.computeIfAbsent(new Key(step, member.run()), k -> new GangRun());
  }

  private static long carriedMillis(Member member) {
    return member.carried().isEmpty() ? 0 : Long.parseLong(member.carried());
  }

  /** One run of a gang. */
  private final class GangRun {
    /** The members that are there, by index. */
    private final Map<Integer, Member> present = new TreeMap<>();

    private OptionalLong workingSince = OptionalLong.empty();
    private OptionalLong overSince = OptionalLong.empty();

    private void join(Member member) {
      if (isOver()) {
        endLater(member, EndReason.BROKEN, MAX_BREAK_MILLIS);
        return;
      }
      time.after(TIMEOUT_MILLIS, () -> waitedForOthers(member));
      // A late order may have started the member on a second executor, where it waits in vain.
      present.putIfAbsent(member.id().index(), member);
      if (workingSince.isEmpty() && present.size() == member.spec().tasks()) {
        begin();
      }
    }

    private boolean isOver() {
      return overSince.isPresent();
    }

    private void waitedForOthers(Member member) {
      if (workingSince.isEmpty() || present.get(member.id().index()) != member) {
        member.end(EndReason.ALONE);
      }
    }

    private void begin() {
      workingSince = OptionalLong.of(time.now());
      List<Member> members = List.copyOf(present.values());
      if (members.get(0).spec().longRunning()) {
        members.forEach(
            m ->
                simulation
                    .lifeMillis(m.id())
                    .ifPresent(millis -> time.after(millis, () -> m.end(EndReason.FAILED))));
      } else if (members.stream().noneMatch(Member::isStalled)) {
        long millis =
            members.stream().mapToLong(m -> m.workMillis() - carriedMillis(m)).max().orElseThrow();
        time.after(millis, () -> workDone(members));
        if (millis > 0 && random.nextDouble() < earlyFailureRate) {
          Member first = members.get(random.nextInt(members.size()));
          time.after(random.nextLong(millis), () -> fail(List.of(first), members));
        }
      }
    }

    private void workDone(List<Member> members) {
      if (isOver()) {
        return;
      }
      List<Member> failing = members.stream().filter(m -> m.ownEnd() == EndReason.FAILED).toList();
      if (failing.isEmpty()) {
        overSince = OptionalLong.of(time.now());
        members.forEach(m -> m.end(EndReason.DONE));
      } else {
        fail(failing, members);
      }
    }

    /** Lets members fail and, in half of all runs, others for the same cause, in any order. */
    private void fail(List<Member> failing, List<Member> members) {
      if (isOver()) {
        return;
      }
      List<Member> all = new ArrayList<>(failing);
      if (random.nextBoolean()) {
        members.stream()
            .filter(m -> !failing.contains(m) && random.nextInt(3) > 0)
            .forEach(all::add);
      }
      all.forEach(
          m ->
              endLater(
                  m,
                  EndReason.FAILED,
                  random.nextInt(4) == 0 ? MAX_BREAK_MILLIS : COMMON_FAILURE_MILLIS));
    }

    private void ended(Member member, EndReason reason) {
      if (reason == EndReason.DONE || present.get(member.id().index()) != member || isOver()) {
        return;
      }
      overSince = OptionalLong.of(time.now());
      present.values().stream()
          .filter(m -> m != member)
          .forEach(m -> endLater(m, EndReason.BROKEN, MAX_BREAK_MILLIS));
    }

    private void endLater(Member member, EndReason reason, long maxMillis) {
      time.after(random.nextLong(maxMillis + 1), () -> member.end(reason));
    }

    private String checkpoint(Member member) {
      return workingSince.isEmpty() ? member.carried() : String.valueOf(workedMillis(member));
    }

    private long workedMillis(Member member) {
      long until = overSince.orElse(time.now());
      long worked = workingSince.isPresent() ? until - workingSince.getAsLong() : 0;
      return carriedMillis(member) + worked;
    }
  }
}
