package io.cactusspring.core.placement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.Urgency;
import io.cactusspring.core.model.WorkerInfo;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Reference model of waiting runs and running tasks; checks each decision of a placer. */
final class PlacementOracle {
  final Map<String, WorkerInfo> workers = new LinkedHashMap<>();
  final Set<String> unreachable = new HashSet<>();
  final Map<RunId, PendingRun> waiting = new LinkedHashMap<>();
  final Map<TaskId, CommittedTask> running = new LinkedHashMap<>();
  final Map<String, Integer> budgets = new LinkedHashMap<>();
  private final Set<RunId> victims = new HashSet<>();

  /** Runs whose wait reason was a reservation before the decisions that are checked. */
  private Set<RunId> reserved = Set.of();

  int budget(String team) {
    return budgets.getOrDefault(team, 20);
  }

  Resources committed(String worker) {
    return running.values().stream()
        .filter(t -> t.worker().equals(worker))
        .map(t -> t.spec().resources())
        .reduce(Resources.NONE, Resources::plus);
  }

  int runningOf(String team) {
    return (int) running.values().stream().filter(t -> t.team().equals(team)).count();
  }

  boolean runs(RunId run) {
    return running.keySet().stream().anyMatch(t -> t.run().equals(run));
  }

  boolean takesWork(String worker) {
    return !workers.get(worker).leaving() && !unreachable.contains(worker);
  }

  void recordReserved(Placer placer) {
    reserved =
        waiting.keySet().stream()
            .filter(r -> placer.waitReason(r).equals(Optional.of(WaitReason.RESERVED)))
            .collect(Collectors.toSet());
  }

  void apply(List<Decision> decisions) {
    decisions.forEach(this::apply);
  }

  private void apply(Decision decision) {
    switch (decision) {
      case Decision.Place p -> {
        assertThat(p.run().gangSize()).isEqualTo(1);
        start(p);
      }
      case Decision.PlaceGang g -> startGang(g);
      case Decision.Preempt p -> preempt(p);
      case Decision.Infeasible i -> infeasible(i.run());
    }
  }

  private void startGang(Decision.PlaceGang gang) {
    long members = gang.members().stream().map(m -> m.run().run()).distinct().count();
    long workloads = gang.members().stream().map(m -> m.run().run().workload()).distinct().count();
    assertThat(members).isEqualTo(gang.members().getFirst().run().gangSize());
    assertThat(workloads).isEqualTo(1);
    gang.members().forEach(this::start);
  }

  private void start(Decision.Place place) {
    PendingRun run = place.run();
    assertWithMessage("%s waits", run.run()).that(waiting.remove(run.run())).isEqualTo(run);
    assertWithMessage("%s runs already", run.run()).that(runs(run.run())).isFalse();
    assertWithMessage("%s takes work", place.worker()).that(takesWork(place.worker())).isTrue();
    running.put(
        run.task(),
        new CommittedTask(
            run.task(), run.team(), run.spec(), place.worker(), run.service(), run.inGang()));
    Resources committed = committed(place.worker());
    Resources total = workers.get(place.worker()).total();
    assertWithMessage("%s of %s", committed, total).that(committed.fitsIn(total)).isTrue();
    assertThat(runningOf(run.team())).isAtMost(budget(run.team()));
  }

  private void preempt(Decision.Preempt preempt) {
    CommittedTask victim = running.get(preempt.victim());
    PendingRun beneficiary = waiting.get(preempt.beneficiary());
    assertThat(victim.spec().checkpointable()).isTrue();
    assertThat(victim.inGang()).isFalse();
    boolean urgent = beneficiary.spec().urgency() == Urgency.URGENT;
    boolean ofOtherTeam = !victim.team().equals(beneficiary.team());
    assertThat((urgent && ofOtherTeam) || reserved.contains(beneficiary.run())).isTrue();
    assertWithMessage("first preemption").that(victims.add(victim.task().run())).isTrue();
  }

  private void infeasible(PendingRun run) {
    assertThat(workers).isNotEmpty();
    assertThat(waiting.remove(run.run())).isEqualTo(run);
    int places = workers.values().stream().mapToInt(w -> times(w.total(), run)).sum();
    assertThat(places).isLessThan(run.gangSize());
  }

  private static int times(Resources total, PendingRun run) {
    Resources need = run.spec().resources();
    int times = 0;
    while (need.times(times + 1).fitsIn(total) && times < run.gangSize()) {
      times++;
    }
    return times;
  }

  void ended(TaskId task, ReleaseReason reason) {
    running.remove(task);
    if (reason != ReleaseReason.CHECKPOINTED && reason != ReleaseReason.LAPSED) {
      victims.remove(task.run());
    }
  }

  void cancelled(RunId run) {
    waiting.remove(run);
    victims.remove(run);
  }

  /** No run that fits and is within budget may wait, unless capacity is reserved for some run. */
  void checkWorkConservation(Placer placer) {
    boolean reserved =
        waiting.keySet().stream()
            .anyMatch(r -> placer.waitReason(r).equals(Optional.of(WaitReason.RESERVED)));
    if (reserved) {
      return;
    }
    for (PendingRun run : waiting.values()) {
      boolean limited = runningOf(run.team()) + 1 > budget(run.team());
      if (run.inGang() || limited || mayWaitForOtherTeam(run)) {
        continue;
      }
      for (WorkerView worker : placer.workers()) {
        boolean fits = run.spec().resources().fitsIn(free(worker));
        assertWithMessage("%s fits on %s", run, worker)
            .that(worker.state() == WorkerView.State.READY && fits)
            .isFalse();
      }
    }
  }

  /** While the shard is full, a run may wait for a team with a lower weighted share. */
  private boolean mayWaitForOtherTeam(PendingRun run) {
    Resources all =
        running.values().stream()
            .map(t -> t.spec().resources())
            .reduce(Resources.NONE, Resources::plus);
    Resources inUse = new Resources(all.milliProcessors(), all.memoryMib(), 0);
    boolean full = inUse.dominantShareOf(total()) >= PlacementHistory.POLICY.fullThreshold();
    Resources used = usedBy(run.team()).plus(run.spec().resources());
    double weightedShare = used.dominantShareOf(total()) / PlacementHistory.SHARES.get(run.team());
    return full
        && run.spec().urgency() != Urgency.URGENT
        && waiting.values().stream().anyMatch(w -> weightedShare(w.team()) < weightedShare);
  }

  private double weightedShare(String team) {
    return usedBy(team).dominantShareOf(total()) / PlacementHistory.SHARES.get(team);
  }

  private Resources usedBy(String team) {
    return running.values().stream()
        .filter(t -> t.team().equals(team))
        .map(t -> t.spec().resources())
        .reduce(Resources.NONE, Resources::plus);
  }

  private Resources total() {
    return workers.values().stream().map(WorkerInfo::total).reduce(Resources.NONE, Resources::plus);
  }

  private Resources free(WorkerView worker) {
    Resources committed = committed(worker.name());
    return committed.fitsIn(worker.total()) ? worker.total().minus(committed) : Resources.NONE;
  }

  void checkCounts(Placer placer) {
    assertThat(placer.waitingRuns()).isEqualTo(waiting.size());
    for (WorkerView worker : placer.workers()) {
      assertThat(worker.committed()).isEqualTo(committed(worker.name()));
    }
    for (String team : PlacementHistory.TEAMS) {
      assertThat(placer.running(team)).isEqualTo(runningOf(team));
    }
  }
}
