package io.cactusspring.core.placement;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.Urgency;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/** One call for decisions: claims first, then urgent, normal and background work. */
final class DecisionRound {
  private final Parts parts;
  private final ShardState state;
  private final long nowMillis;
  private final int maxDecisions;
  private final ToIntFunction<String> budgetOfTeam;
  private final Map<String, Integer> budgets = new HashMap<>();
  private final List<Decision> decisions = new ArrayList<>();

  /** Sizes that fitted nowhere in this round; nothing larger fits either. */
  private final List<Resources> failed = new ArrayList<>();

  /** What outlives a round. */
  record Parts(
      PlacementPolicy policy,
      PlacementRules rules,
      ShardState state,
      WaitingRuns waiting,
      Claims claims,
      RunTimes runTimes,
      Set<RunId> preempted,
      UnitPlacer placer,
      Preemptor preemptor,
      ReservationPlanner planner,
      Pace pace) {}

  DecisionRound(Parts parts, long nowMillis, int maxDecisions, ToIntFunction<String> budgetOfTeam) {
    this.parts = parts;
    this.state = parts.state();
    this.nowMillis = nowMillis;
    this.maxDecisions = maxDecisions;
    this.budgetOfTeam = budgetOfTeam;
  }

  List<Decision> run() {
    state.workers().openDueProbes(nowMillis);
    tellInfeasible();
    serveClaims();
    unblock();
    for (Urgency urgency : Urgency.values()) {
      placeQueued(urgency);
    }
    reserve();
    backfill();
    if (!isFull()) {
      state.workers().clearRaised();
    }
    return List.copyOf(decisions);
  }

  private boolean isFull() {
    return decisions.size() >= maxDecisions;
  }

  private int budget(TeamState team) {
    return budgets.computeIfAbsent(team.name(), this::askBudget);
  }

  private int askBudget(String team) {
    int budget = budgetOfTeam.applyAsInt(team);
    state.team(team).setLastBudget(budget);
    return budget;
  }

  private boolean withinBudget(WaitingUnit unit) {
    TeamState team = state.team(unit.team());
    return parts.rules().withinBudget(team.running(), unit.size(), budget(team));
  }

  private void tellInfeasible() {
    if (state.workers().isEmpty()) {
      return;
    }
    boolean all = state.workers().takeTopologyChange();
    for (TeamState team : state.teams()) {
      for (RunQueue queue : team.queues()) {
        queue.takeUnchecked(all).forEach(g -> tellIfInfeasible(queue, g));
      }
    }
  }

  private void tellIfInfeasible(RunQueue queue, RunGroup group) {
    Shape shape = group.shape();
    if (state.workers().fitsWhenEmpty(shape.resources(), shape.gangSize())) {
      return;
    }
    while (!group.isEmpty()) {
      if (isFull()) {
        queue.checkAgain(group);
        return;
      }
      WaitingUnit unit = group.head();
      queue.remove(unit);
      finish(unit);
      unit.members().forEach(m -> decisions.add(new Decision.Infeasible(m)));
    }
  }

  private void finish(WaitingUnit unit) {
    parts.waiting().finish(unit);
    state.team(unit.team()).addWaiting(-unit.size());
  }

  private void serveClaims() {
    if (parts.claims().isEmpty()) {
      return;
    }
    boolean gangsDue = parts.pace().gangClaimIsDue(nowMillis);
    for (Claim claim : parts.claims().all()) {
      if (isFull()) {
        return;
      }
      serve(claim, gangsDue);
    }
  }

  private void serve(Claim claim, boolean gangsDue) {
    WaitingUnit unit = claim.unit();
    if (claim.isStale(state.workers(), nowMillis) || !withinBudget(unit)) {
      parts.claims().drop(unit);
      state.team(unit.team()).queue(unit.urgency()).add(unit);
      return;
    }
    if (claim.isFree()) {
      parts.claims().drop(unit);
      decisions.add(parts.placer().startAll(claim.holds(), nowMillis));
      finish(unit);
      return;
    }
    if (unit.first().inGang() ? gangsDue : fitsRaised(unit.shape())) {
      placeElsewhere(claim);
    }
  }

  private void placeElsewhere(Claim claim) {
    parts.claims().drop(claim.unit());
    Optional<Decision> placed = parts.placer().place(claim.unit(), nowMillis);
    if (placed.isEmpty()) {
      parts.claims().add(claim);
      return;
    }
    decisions.add(placed.get());
    finish(claim.unit());
  }

  private boolean fitsRaised(Shape shape) {
    return state.workers().raised().stream()
        .anyMatch(w -> state.workers().takesWork(w) && shape.resources().fitsIn(w.available()));
  }

  private void unblock() {
    boolean urgentDue = parts.pace().preemptionIsDue(nowMillis);
    boolean anyRaised = !state.workers().raised().isEmpty();
    if (!anyRaised && !urgentDue) {
      return;
    }
    for (TeamState team : state.teams()) {
      if (urgentDue) {
        team.queue(Urgency.URGENT).unblockIf(s -> true);
      }
      if (anyRaised) {
        team.queues().forEach(q -> q.unblockIf(this::fitsRaised));
      }
    }
  }

  private void placeQueued(Urgency urgency) {
    List<RunGroup> limited = new ArrayList<>();
    while (!isFull()) {
      TeamState team = neediest(urgency);
      if (team == null) {
        break;
      }
      RunQueue queue = team.queue(urgency);
      RunGroup group = queue.firstReady();
      if (!withinBudget(group.head())) {
        queue.block(group);
        limited.add(group);
        continue;
      }
      if (!place(queue, group.head())) {
        queue.block(group);
      }
    }
    Set<Shape> shapes = limited.stream().map(RunGroup::shape).collect(Collectors.toSet());
    if (!shapes.isEmpty()) {
      state.teams().forEach(t -> t.queue(urgency).unblockIf(shapes::contains));
    }
  }

  /** Returns the team of the lowest weighted share that has work ready and budget left. */
  private TeamState neediest(Urgency urgency) {
    Resources total = state.total();
    TeamState best = null;
    double lowest = Double.POSITIVE_INFINITY;
    for (TeamState team : state.teams()) {
      if (!team.queue(urgency).hasReady()
          || !parts.rules().withinBudget(team.running(), 1, budget(team))) {
        continue;
      }
      double share = team.weightedShare(total);
      if (best == null || share < lowest) {
        best = team;
        lowest = share;
      }
    }
    return best;
  }

  private boolean place(RunQueue queue, WaitingUnit unit) {
    Resources need = unit.shape().resources();
    boolean hopeless = failed.stream().anyMatch(f -> f.fitsIn(need));
    Optional<Decision> placed = hopeless ? Optional.empty() : parts.placer().place(unit, nowMillis);
    if (placed.isPresent()) {
      queue.remove(unit);
      finish(unit);
      decisions.add(placed.get());
      return true;
    }
    if (!hopeless && !unit.first().inGang()) {
      failed.add(need);
    }
    return unit.urgency() == Urgency.URGENT && preempt(queue, unit);
  }

  private boolean preempt(RunQueue queue, WaitingUnit unit) {
    Optional<Preemptor.Plan> plan = parts.preemptor().plan(unit);
    if (plan.isEmpty() || decisions.size() + plan.get().victims().size() > maxDecisions) {
      return false;
    }
    List<TaskState> victims = plan.get().victims();
    queue.remove(unit);
    for (TaskState victim : victims) {
      victim.markVictim();
      state.team(victim.committed().team()).markVictim(victim);
      parts.preempted().add(victim.id().run());
      decisions.add(new Decision.Preempt(victim.id(), unit.first().run()));
    }
    parts
        .claims()
        .add(
            Claim.ofVictims(
                unit,
                plan.get().worker(),
                victims.stream().map(TaskState::id).collect(Collectors.toSet())));
    return true;
  }

  /** Reserves room for the first unit in order that would otherwise be overtaken for ever. */
  private void reserve() {
    if (parts.claims().reservation().isPresent() || !parts.pace().reservationIsDue(nowMillis)) {
      return;
    }
    for (Urgency urgency : Urgency.values()) {
      for (TeamState team : byNeed()) {
        if (reserveFor(team.queue(urgency))) {
          return;
        }
      }
    }
  }

  private boolean reserveFor(RunQueue queue) {
    Optional<WaitingUnit> unit =
        queue.blockedHeads().stream()
            .filter(u -> u.first().inGang() || waitedLong(u))
            .filter(this::withinBudget)
            .min(Comparator.comparingLong(WaitingUnit::sequence));
    if (unit.isEmpty()) {
      return false;
    }
    Optional<Claim> claim = parts.planner().plan(unit.get(), nowMillis);
    if (claim.isEmpty()) {
      parts.pace().reservationFailed(nowMillis);
      return false;
    }
    queue.remove(unit.get());
    parts.claims().add(claim.get());
    return true;
  }

  private boolean waitedLong(WaitingUnit unit) {
    return nowMillis - unit.sinceMillis() >= parts.policy().patienceMillis();
  }

  private List<TeamState> byNeed() {
    Resources total = state.total();
    List<TeamState> teams = new ArrayList<>();
    state.teams().forEach(teams::add);
    teams.sort(Comparator.comparingDouble(t -> t.weightedShare(total)));
    return teams;
  }

  /** Starts short runs in reserved room that they leave before the reservation can be used. */
  private void backfill() {
    Optional<Claim> reservation = parts.claims().reservation();
    if (!parts.policy().backfill() || reservation.isEmpty()) {
      return;
    }
    for (Urgency urgency : Urgency.values()) {
      for (TeamState team : byNeed()) {
        RunQueue queue = team.queue(urgency);
        queue.blockedHeads().forEach(u -> backfill(queue, u, reservation.get()));
      }
    }
  }

  private void backfill(RunQueue queue, WaitingUnit unit, Claim reservation) {
    PendingRun run = unit.first();
    OptionalLong longest = parts.runTimes().longest(run.team(), run.spec());
    boolean leavesInTime =
        longest.isPresent() && nowMillis + longest.getAsLong() <= reservation.earliestMillis();
    if (isFull() || run.inGang() || run.service() || !leavesInTime || !withinBudget(unit)) {
      return;
    }
    Optional<WorkerState> worker =
        reservation.holds().stream()
            .map(Claim.Hold::worker)
            .filter(w -> run.spec().resources().fitsIn(w.free()) && state.workers().takesWork(w))
            .findFirst();
    if (worker.isEmpty()) {
      return;
    }
    queue.remove(unit);
    finish(unit);
    decisions.add(parts.placer().start(run, worker.get(), nowMillis));
  }
}
