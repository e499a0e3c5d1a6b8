package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Chooses checkpointable tasks of teams above their share to preempt for urgent runs. */
final class Preemptor {
  private static final int MAX_WORKERS_EXAMINED = 64;

  private final ShardState state;

  /** Tasks on one worker whose end frees enough resources for a run. */
  record Plan(WorkerState worker, List<TaskState> victims) {
    long earliestStart() {
      return victims.stream().mapToLong(TaskState::startMillis).min().orElse(0);
    }
  }

  private static final Comparator<Plan> CHEAPEST =
      Comparator.comparingInt((Plan p) -> p.victims().size())
          .thenComparing(Comparator.comparingLong(Plan::earliestStart).reversed());

  Preemptor(ShardState state) {
    this.state = state;
  }

  /** Whether tasks may be preempted for a unit: a single run of a team not above its share. */
  boolean mayPreempt(WaitingUnit unit) {
    return unit.size() == 1 && !state.isAboveShare(state.team(unit.team()));
  }

  /** Returns the plan with the fewest, then youngest victims among the workers examined. */
  Optional<Plan> plan(WaitingUnit unit) {
    Resources need = unit.first().spec().resources();
    List<TeamState> victimTeams = victimTeams(unit.team());
    Set<String> victimTeamNames = new HashSet<>();
    victimTeams.forEach(t -> victimTeamNames.add(t.name()));
    return workersOf(victimTeams).stream()
        .map(w -> planOn(w, need, victimTeamNames))
        .flatMap(Optional::stream)
        .min(CHEAPEST);
  }

  private List<TeamState> victimTeams(String beneficiary) {
    List<TeamState> found = new ArrayList<>();
    for (TeamState team : state.teams()) {
      if (!team.name().equals(beneficiary) && state.isAboveShare(team)) {
        found.add(team);
      }
    }
    Resources total = state.total();
    found.sort(Comparator.comparingDouble((TeamState t) -> t.weightedShare(total)).reversed());
    return found;
  }

  private Set<WorkerState> workersOf(List<TeamState> victimTeams) {
    Set<WorkerState> found = new LinkedHashSet<>();
    for (TeamState victimTeam : victimTeams) {
      for (TaskState task : victimTeam.preemptible()) {
        if (found.size() == MAX_WORKERS_EXAMINED) {
          return found;
        }
        if (state.workers().takesWork(task.worker()) && !task.worker().hasHolds()) {
          found.add(task.worker());
        }
      }
    }
    return found;
  }

  private Optional<Plan> planOn(WorkerState worker, Resources need, Set<String> victimTeams) {
    Resources room = worker.available();
    List<TaskState> victims = new ArrayList<>();
    for (TaskState task : youngestFirst(worker, victimTeams)) {
      if (need.fitsIn(room)) {
        break;
      }
      victims.add(task);
      room = room.plus(task.resources());
    }
    return need.fitsIn(room) ? Optional.of(new Plan(worker, victims)) : Optional.empty();
  }

  private static List<TaskState> youngestFirst(WorkerState worker, Set<String> victimTeams) {
    return worker.tasks().stream()
        .filter(TaskState::mayBeVictim)
        .filter(t -> victimTeams.contains(t.committed().team()))
        .sorted(Comparator.comparingLong(TaskState::startMillis).reversed())
        .toList();
  }
}
