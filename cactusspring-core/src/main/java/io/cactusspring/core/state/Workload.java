package io.cactusspring.core.state;

import io.cactusspring.core.model.Outcome;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.TaskSpec;
import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * The runs of one submission or the replicas of one service. The task spec is stored once; each run
 * takes a few bytes.
 */
final class Workload {
  static final String SERVICE_PREFIX = "service:";
  private static final RunState[] STATES = RunState.values();
  private static final Outcome[] OUTCOMES = Outcome.values();
  private static final byte NO_OUTCOME = -1;
  private static final int MAX_ENDED_PAYLOAD_CHARS = 256;

  final String id;
  final boolean gang;
  final long offset;
  private String team;
  private TaskSpec spec;
  private ShardId home;
  private boolean cancelled;
  private int desiredCount;
  private int live;
  private byte[] states;
  private byte[] outcomes;
  private int[] attempts;
  private String[] workers;
  private ShardId[] homes;
  private TaskSpec[] specs;

  Workload(
      String id, String team, TaskSpec spec, boolean gang, int size, ShardId home, long offset) {
    this.id = id;
    this.team = team;
    this.spec = spec;
    this.gang = gang;
    this.home = home;
    this.offset = offset;
    desiredCount = size;
    live = size;
    states = new byte[size];
    outcomes = new byte[size];
    Arrays.fill(outcomes, NO_OUTCOME);
    attempts = new int[size];
    workers = new String[size];
  }

  static boolean isService(String workload) {
    return workload.startsWith(SERVICE_PREFIX);
  }

  boolean service() {
    return isService(id);
  }

  int size() {
    return states.length;
  }

  int live() {
    return live;
  }

  String team() {
    return team;
  }

  void setTeam(String next) {
    team = next;
  }

  /** Returns the desired number of runs; replicas with an index from this number on are to end. */
  int desiredCount() {
    return desiredCount;
  }

  TaskSpec spec() {
    return spec;
  }

  ShardId home() {
    return home;
  }

  boolean cancelled() {
    return cancelled;
  }

  void cancel() {
    cancelled = true;
  }

  boolean cancelled(int i) {
    return cancelled || i >= desiredCount;
  }

  RunState state(int i) {
    return STATES[states[i]];
  }

  boolean isLive(int i) {
    return state(i) != RunState.ENDED;
  }

  Outcome outcome(int i) {
    return outcomes[i] == NO_OUTCOME ? null : OUTCOMES[outcomes[i]];
  }

  int attempt(int i) {
    return attempts[i];
  }

  String worker(int i) {
    return workers[i];
  }

  ShardId home(int i) {
    return homes == null || homes[i] == null ? home : homes[i];
  }

  /** Returns the spec of the attempt in progress or, if there is none, of the next one. */
  TaskSpec spec(int i) {
    return specs == null || specs[i] == null ? spec : specs[i];
  }

  IntStream indexes(RunState state) {
    return IntStream.range(0, states.length).filter(i -> state(i) == state);
  }

  RunId run(int i) {
    return new RunId(id, i);
  }

  void start(int i, int attempt, String worker) {
    states[i] = (byte) RunState.STARTED.ordinal();
    attempts[i] = attempt;
    workers[i] = worker;
  }

  /** Reserves the number of an attempt that may have started although its run had ended. */
  void reserveAttempt(int i, int attempt) {
    attempts[i] = Math.max(attempts[i], attempt);
  }

  void setPending(int i) {
    if (!isLive(i)) {
      live++;
    }
    states[i] = (byte) RunState.PENDING.ordinal();
    outcomes[i] = NO_OUTCOME;
    clearAttemptSpec(i);
  }

  void end(int i, Outcome outcome) {
    if (isLive(i)) {
      live--;
    }
    states[i] = (byte) RunState.ENDED.ordinal();
    outcomes[i] = (byte) outcome.ordinal();
    clearAttemptSpec(i);
  }

  void moveHome(int i, ShardId to) {
    if (homes == null) {
      homes = new ShardId[states.length];
    }
    homes[i] = to.equals(home) ? null : to;
  }

  /** Sets the desired number of replicas; new ones are in state ENDED until made pending. */
  void setDesiredCount(int count) {
    desiredCount = count;
    if (count > states.length) {
      grow(count);
    }
  }

  /** Sets the spec of future attempts; attempts in progress keep theirs. */
  void setSpec(TaskSpec next) {
    TaskSpec before = spec;
    indexes(RunState.STARTED)
        .filter(i -> spec(i) == before)
        .forEach(i -> setAttemptSpec(i, before));
    spec = next;
  }

  void setAttemptSpec(int i, TaskSpec kept) {
    if (specs == null) {
      specs = new TaskSpec[states.length];
    }
    specs[i] = kept;
  }

  /** Truncates a long payload, which ended work no longer needs. */
  void truncatePayload() {
    if (spec.payload().length() > MAX_ENDED_PAYLOAD_CHARS) {
      spec =
          TaskSpec.builder(spec.resources())
              .expectedMillis(spec.expectedMillis())
              .idempotent(spec.idempotent())
              .checkpointable(spec.checkpointable())
              .urgency(spec.urgency())
              .payload(spec.payload().substring(0, MAX_ENDED_PAYLOAD_CHARS))
              .build();
    }
  }

  RunView view(int i) {
    return new RunView(
        run(i),
        team,
        spec(i),
        home(i),
        state(i),
        attempts[i],
        workers[i],
        outcome(i),
        cancelled(i),
        gang ? states.length : 1,
        service());
  }

  /** Restores the state of a run from a snapshot. */
  void restore(int i, RunState state, Outcome outcome, int attempt, String worker) {
    live += (state == RunState.ENDED ? 0 : 1) - (isLive(i) ? 1 : 0);
    states[i] = (byte) state.ordinal();
    outcomes[i] = outcome == null ? NO_OUTCOME : (byte) outcome.ordinal();
    attempts[i] = attempt;
    workers[i] = worker;
  }

  private void clearAttemptSpec(int i) {
    if (specs != null) {
      specs[i] = null;
    }
  }

  private void grow(int size) {
    int before = states.length;
    states = Arrays.copyOf(states, size);
    outcomes = Arrays.copyOf(outcomes, size);
    attempts = Arrays.copyOf(attempts, size);
    workers = Arrays.copyOf(workers, size);
    homes = homes == null ? null : Arrays.copyOf(homes, size);
    specs = specs == null ? null : Arrays.copyOf(specs, size);
    Arrays.fill(states, before, size, (byte) RunState.ENDED.ordinal());
    Arrays.fill(outcomes, before, size, (byte) Outcome.CANCELLED.ordinal());
  }
}
