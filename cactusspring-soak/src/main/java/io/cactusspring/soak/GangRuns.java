package io.cactusspring.soak;

import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** The runs of all gangs, whose members are spread over the executors. */
final class GangRuns {
  /** What the plan of a run says of gangs. */
  interface Plan {
    /** Returns the duration of a gang on normal executors. */
    long millis(StepId gang, StepSpec step);

    /** Returns how a run fails, if it does. */
    Optional<GangFailure> failure(StepId gang, StepSpec step, int run);

    /** Returns whether a task crashes each executor on which it starts, and is never done. */
    boolean crashes(TaskId task);
  }

  private record Key(StepId gang, int run) {}

  private final Timers timers;
  private final Plan plan;
  private final long seed;
  private final Map<Key, GangRun> runs = new HashMap<>();

  GangRuns(Timers timers, Plan plan, long seed) {
    this.timers = timers;
    this.plan = plan;
    this.seed = seed;
  }

  /** Returns whether a run of a gang has begun to fail and further members are to fail. */
  boolean failsFurther(TaskId member, int run) {
    GangRun known = runs.get(new Key(member.stepId(), run));
    return known != null && known.failsFurther();
  }

  /**
   * Returns a run of a gang; the same one for all its members, also after it has ended.
   *
   * @param checkpoint what the first member that asks is started with
   */
  GangRun run(TaskId member, int run, StepSpec step, String checkpoint) {
    Key key = new Key(member.stepId(), run);
    return runs.computeIfAbsent(
        key,
        k ->
            new GangRun(
                timers,
                plan,
                new GangRun.Identity(key.gang(), run, step),
                checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint),
                new Random(seed * 31 + key.hashCode())));
  }
}
