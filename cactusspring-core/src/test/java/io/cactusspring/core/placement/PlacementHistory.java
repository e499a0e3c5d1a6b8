package io.cactusspring.core.placement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.model.Urgency;
import io.cactusspring.core.model.WorkerInfo;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Applies steps to a placer and to the oracle that checks it. */
final class PlacementHistory {
  static final List<String> TEAMS = List.of("a", "b", "c");
  static final Map<String, Integer> SHARES = Map.of("a", 4, "b", 2, "c", 1);
  static final PlacementPolicy POLICY =
      PlacementPolicy.builder().reservationDelayMillis(500).maxReservedWorkerFraction(0.25).build();
  private static final int NO_DECISION_LIMIT = 10_000;

  private final Placer placer;
  private final PlacementOracle oracle = new PlacementOracle();
  private final Map<RunId, Integer> attempts = new HashMap<>();
  private long nowMillis;
  private int nextWorkload;

  PlacementHistory(PlacementRules rules) {
    placer = new Placer(POLICY, rules);
    placer.setTeams(SHARES);
  }

  void apply(List<PlacementStep> steps) {
    steps.forEach(this::apply);
  }

  private void apply(PlacementStep step) {
    switch (step) {
      case PlacementStep.AddWorker s -> addWorker(s);
      case PlacementStep.SetReachable s -> setReachable(s);
      case PlacementStep.RemoveWorker s -> removeWorker(s);
      case PlacementStep.Enqueue s -> enqueueOne(s);
      case PlacementStep.EnqueueGang s -> enqueueGang(s);
      case PlacementStep.EnqueueReplica s -> enqueueReplica(s);
      case PlacementStep.EnqueueAgain s -> enqueueAgain(s);
      case PlacementStep.Cancel s -> cancel(s);
      case PlacementStep.Release s -> release(s);
      case PlacementStep.Recover s -> recover(s);
      case PlacementStep.SetBudget s -> oracle.budgets.put(team(s.team()), s.budget());
      case PlacementStep.Decide s -> decide(s.maxDecisions());
      case PlacementStep.Wait s -> nowMillis += s.millis();
    }
    oracle.checkCounts(placer);
  }

  private static String team(int index) {
    return TEAMS.get(index % TEAMS.size());
  }

  private static <T> Optional<T> pick(Iterable<T> from, int size, int index) {
    if (size == 0) {
      return Optional.empty();
    }
    var iterator = from.iterator();
    for (int i = 0; i < index % size; i++) {
      iterator.next();
    }
    return Optional.of(iterator.next());
  }

  private Optional<String> worker(int index) {
    return pick(oracle.workers.keySet(), oracle.workers.size(), index);
  }

  private void addWorker(PlacementStep.AddWorker step) {
    Resources total =
        new Resources(step.processors() * 1_000L, step.memory() * 1_024L, step.accelerators());
    String name = "w" + step.worker();
    String rack = "r" + step.worker() % 2;
    WorkerInfo info =
        new WorkerInfo(name, Fixtures.ZONE, rack, "127.0.0.1:1", total, step.leaving());
    oracle.workers.put(name, info);
    placer.putWorker(info);
  }

  private void setReachable(PlacementStep.SetReachable step) {
    worker(step.worker())
        .ifPresent(
            w -> {
              placer.setReachable(w, step.reachable());
              if (step.reachable()) {
                oracle.unreachable.remove(w);
              } else {
                oracle.unreachable.add(w);
              }
            });
  }

  private void removeWorker(PlacementStep.RemoveWorker step) {
    Optional<String> worker = worker(step.worker());
    if (worker.isEmpty()) {
      return;
    }
    boolean busy = oracle.running.values().stream().anyMatch(t -> t.worker().equals(worker.get()));
    if (busy) {
      assertThrows(IllegalStateException.class, () -> placer.removeWorker(worker.get()));
      return;
    }
    placer.removeWorker(worker.get());
    oracle.workers.remove(worker.get());
    oracle.unreachable.remove(worker.get());
  }

  private void enqueueOne(PlacementStep.Enqueue step) {
    TaskSpec spec =
        TaskSpec.builder(
                new Resources(
                    step.processors() * 900L, step.memory() * 1_024L, step.accelerators()))
            .expectedMillis(1_000)
            .urgency(Urgency.values()[step.urgency() % Urgency.values().length])
            .checkpointable(step.checkpointable())
            .build();
    enqueue(
        new PendingRun(new RunId("b" + nextWorkload++, 0), 1, team(step.team()), spec, false, 1));
  }

  private void enqueueGang(PlacementStep.EnqueueGang step) {
    Fixtures.gang("g" + nextWorkload++, team(step.team()), step.processors(), step.size())
        .forEach(this::enqueue);
  }

  private void enqueueReplica(PlacementStep.EnqueueReplica step) {
    TaskSpec spec = TaskSpec.builder(Fixtures.size(step.processors())).build();
    RunId run = new RunId("service:" + team(step.team()), nextWorkload++);
    enqueue(new PendingRun(run, 1, team(step.team()), spec, true, 1));
  }

  private void enqueue(PendingRun run) {
    attempts.put(run.run(), run.attempt());
    oracle.waiting.put(run.run(), run);
    placer.enqueue(run, nowMillis);
  }

  private void enqueueAgain(PlacementStep.EnqueueAgain step) {
    Optional<CommittedTask> task = pick(oracle.running.values(), oracle.running.size(), step.run());
    if (task.isEmpty() || task.get().inGang()) {
      return;
    }
    CommittedTask committed = task.get();
    int attempt = committed.task().attempt() + 1;
    PendingRun run =
        new PendingRun(
            committed.task().run(),
            attempt,
            committed.team(),
            committed.spec(),
            committed.service(),
            1);
    try {
      placer.enqueue(run, nowMillis);
    } catch (IllegalStateException expected) {
      return;
    }
    oracle.waiting.put(run.run(), run);
  }

  private void cancel(PlacementStep.Cancel step) {
    pick(oracle.waiting.keySet(), oracle.waiting.size(), step.run())
        .ifPresent(
            r -> {
              assertThat(placer.remove(r)).isTrue();
              oracle.cancelled(r);
            });
  }

  private void release(PlacementStep.Release step) {
    Optional<CommittedTask> picked =
        pick(oracle.running.values(), oracle.running.size(), step.task());
    if (picked.isEmpty()) {
      return;
    }
    CommittedTask task = picked.get();
    TaskId id = task.task();
    placer.release(id, step.reason(), nowMillis);
    oracle.ended(id, step.reason());
    boolean waits = oracle.waiting.containsKey(id.run());
    if (step.reason() != ReleaseReason.SUCCEEDED && !task.inGang() && !waits) {
      enqueue(
          new PendingRun(id.run(), id.attempt() + 1, task.team(), task.spec(), task.service(), 1));
    }
  }

  private void recover(PlacementStep.Recover step) {
    Optional<String> worker = worker(step.worker());
    if (worker.isEmpty()) {
      return;
    }
    TaskSpec spec = Fixtures.spec(step.processors()).build();
    TaskId id = new TaskId(new RunId("b" + nextWorkload++, 0), 1);
    CommittedTask task = new CommittedTask(id, team(step.team()), spec, worker.get(), false, false);
    placer.commit(task);
    oracle.running.put(id, task);
  }

  private void decide(int maxDecisions) {
    oracle.recordReserved(placer);
    List<Decision> decisions = placer.decide(nowMillis, maxDecisions, oracle::budget);
    long infeasible = decisions.stream().filter(Decision.Infeasible.class::isInstance).count();
    if (infeasible == 0) {
      assertWithMessage("decisions").that(decisions.size()).isAtMost(maxDecisions);
    }
    oracle.apply(decisions);
    if (maxDecisions >= NO_DECISION_LIMIT) {
      oracle.checkWorkConservation(placer);
    }
  }
}
