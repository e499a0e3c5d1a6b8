package io.cactusspring.core.state;

import io.cactusspring.core.model.Outcome;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.TaskSpec;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * The encoded form of a workload.
 *
 * @param states one character per run: {@code .} pending, {@code s} started, else the first letter
 *     of its outcome
 * @param attempts null if no run was started
 * @param workers null if no run was started
 * @param homes home shards of runs that differ from that of the workload; null if none does
 * @param specs specs of attempts that differ from that of the workload; null if none does
 */
record WorkloadImage(
    String id,
    String team,
    TaskSpec spec,
    boolean gang,
    ShardId home,
    long offset,
    boolean cancelled,
    int wanted,
    String states,
    int[] attempts,
    List<String> workers,
    List<ShardId> homes,
    List<TaskSpec> specs) {
  private static final char PENDING = '.';
  private static final char STARTED = 's';

  static WorkloadImage of(Workload w) {
    int[] attempts = IntStream.range(0, w.size()).map(w::attempt).toArray();
    boolean wasStarted = Arrays.stream(attempts).anyMatch(a -> a > 0);
    return new WorkloadImage(
        w.id,
        w.team(),
        w.spec(),
        w.gang,
        w.home(),
        w.offset,
        w.cancelled(),
        w.desiredCount(),
        states(w),
        wasStarted ? attempts : null,
        sparse(w, w::worker),
        sparse(w, i -> w.home(i).equals(w.home()) ? null : w.home(i)),
        sparse(w, i -> w.spec(i).equals(w.spec()) ? null : w.spec(i)));
  }

  Workload toWorkload() {
    int size = states.length();
    Workload w = new Workload(id, team, spec, gang, size, home, offset);
    w.setDesiredCount(wanted);
    if (cancelled) {
      w.cancel();
    }
    IntStream.range(0, size).forEach(i -> restore(w, i));
    return w;
  }

  private void restore(Workload w, int i) {
    char c = states.charAt(i);
    RunState state =
        switch (c) {
          case PENDING -> RunState.PENDING;
          case STARTED -> RunState.STARTED;
          default -> RunState.ENDED;
        };
    Outcome outcome = state == RunState.ENDED ? outcome(c) : null;
    String worker = at(workers, i);
    w.restore(
        i,
        state,
        outcome,
        attempts == null ? 0 : attempts[i],
        worker == null ? null : worker.intern());
    if (at(homes, i) != null) {
      w.moveHome(i, at(homes, i));
    }
    if (at(specs, i) != null) {
      w.setAttemptSpec(i, at(specs, i));
    }
  }

  private static <T> T at(List<T> list, int i) {
    return list == null ? null : list.get(i);
  }

  private static String states(Workload w) {
    StringBuilder text = new StringBuilder(w.size());
    IntStream.range(0, w.size()).forEach(i -> text.append(letter(w, i)));
    return text.toString();
  }

  private static char letter(Workload w, int i) {
    return switch (w.state(i)) {
      case PENDING -> PENDING;
      case STARTED -> STARTED;
      case ENDED -> w.outcome(i).name().charAt(0);
    };
  }

  private static Outcome outcome(char letter) {
    return Arrays.stream(Outcome.values())
        .filter(o -> o.name().charAt(0) == letter)
        .findFirst()
        .orElseThrow(
            () -> new IllegalArgumentException("unknown run state '" + letter + "' in snapshot"));
  }

  private static <T> List<T> sparse(Workload w, IntFunction<T> value) {
    List<T> all = IntStream.range(0, w.size()).mapToObj(value).toList();
    return all.stream().allMatch(Objects::isNull) ? null : all;
  }
}
