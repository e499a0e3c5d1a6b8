package io.cactusspring.core.fuzz;

import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.Outcome;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.state.ClusterState;
import io.cactusspring.core.state.RunState;
import io.cactusspring.core.state.RunView;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks that must hold after all faults have ended and the work has finished. */
final class FinalChecks {
  private static final long SETTLE_MILLIS = 20_000;
  private static final long FINISH_MILLIS = 60_000;
  private static final int AMPLE_LIMIT = 140;

  private final Simulation simulation;
  private final ExecutionOracle oracle;

  FinalChecks(Simulation simulation) {
    this.simulation = simulation;
    oracle = simulation.oracle();
  }

  void run() {
    simulation.stopLoad();
    simulation.endFaults();
    simulation.events().runFor(SETTLE_MILLIS);
    for (int i = 0; i < CellFixture.TEAMS.size(); i++) {
      simulation
          .callers()
          .changeLimit(simulation.host(0), "ample" + i, CellFixture.TEAMS.get(i), AMPLE_LIMIT);
    }
    simulation.events().runFor(FINISH_MILLIS);
    ClusterState reference = simulation.log().reference();
    simulation.hosts().forEach(h -> checkHost(h, reference));
    checkNotes(reference);
    simulation.callers().submitted().forEach(s -> checkSubmission(s, reference));
    checkReplicas(reference);
  }

  private void checkHost(Host host, ClusterState reference) {
    oracle.check(host.isWorking(), host.name() + " is paused or dead");
    String text = host.state().snapshot();
    oracle.check(
        text.equals(reference.snapshot()),
        host.name() + " has a state that differs from the log's");
  }

  /**
   * Replays the notes by the rule alone: of several notes on one revision of an item, the first
   * takes effect.
   */
  private void checkNotes(ClusterState reference) {
    Map<String, Long> revisions = new HashMap<>();
    Map<String, Integer> limits = new HashMap<>();
    Set<String> seen = new HashSet<>();
    List<LogRecord> records = simulation.log().all();
    for (int i = 0; i < records.size(); i++) {
      if (records.get(i) instanceof LogRecord.NoteApplied n && seen.add(n.note().id())) {
        applyNote(n.note(), i + 1L, revisions, limits);
      }
    }
    simulation.hosts().forEach(h -> limits.forEach((t, limit) -> checkLimit(h, t, limit)));
    oracle.check(
        reference.configuration().teams().size() == limits.size(),
        "the number of teams differs from the one in the notes");
  }

  private static void applyNote(
      ReleaseNote note, long offset, Map<String, Long> revisions, Map<String, Integer> limits) {
    for (Change change : note.changes()) {
      boolean isCurrent =
          change instanceof Change.Add
              || change instanceof Change.Replace r
                  && revisions.getOrDefault(r.path(), 0L) == r.basedOn();
      ConfigItem item =
          switch (change) {
            case Change.Add a -> a.item();
            case Change.Replace r -> r.item();
            case Change.Withdraw w -> null;
          };
      if (isCurrent && item instanceof ConfigItem.Team t) {
        revisions.put(t.path(), offset);
        limits.put(t.name(), t.maxRunning());
      }
    }
  }

  private void checkLimit(Host host, String team, int limit) {
    int actual = host.state().configuration().team(team).orElseThrow().maxRunning();
    oracle.check(actual == limit, host.name() + " has limit " + actual + " for " + team);
  }

  private void checkSubmission(Submission s, ClusterState reference) {
    List<RunView> runs = reference.runs(s.id());
    boolean isAccepted = reference.submission(s.id()).map(v -> v.accepted()).orElse(false);
    oracle.check(
        isAccepted || !simulation.callers().wasAccepted(s.id()),
        s.id() + " was accepted and is lost");
    runs.forEach(r -> checkRun(s, r));
  }

  private void checkRun(Submission s, RunView r) {
    oracle.check(r.state() == RunState.ENDED, r.run() + " has not ended: " + r);
    if (r.outcome() == null) {
      return;
    }
    boolean isFailing = s.task().payload().equals(FakeWorker.FAILING_PAYLOAD);
    Set<Outcome> expected = EnumSet.of(isFailing ? Outcome.FAILED : Outcome.SUCCEEDED);
    if (!s.task().resources().fitsIn(Simulation.WORKER_TOTAL)) {
      expected = EnumSet.of(Outcome.INFEASIBLE);
    }
    if (simulation.callers().wasCancelled(s.id())) {
      expected.add(Outcome.CANCELLED);
    }
    if (!s.task().idempotent()) {
      expected.addAll(EnumSet.of(Outcome.UNKNOWN, Outcome.FAILED));
    }
    boolean isBrokenGang = s.gang() && !s.task().idempotent();
    if (isBrokenGang) {
      expected.add(Outcome.CANCELLED);
    }
    oracle.check(expected.contains(r.outcome()), r.run() + " ended as " + r.outcome());
    boolean isConfirmed = r.outcome() != Outcome.SUCCEEDED || oracle.succeeded(r.run());
    oracle.check(isConfirmed, r.run() + " is recorded as succeeded but never succeeded");
  }

  private void checkReplicas(ClusterState reference) {
    List<RunId> running = oracle.running();
    reference.runs("service:feed").stream()
        .map(RunView::run)
        .forEach(r -> oracle.check(running.contains(r), r + " is not running"));
    oracle.check(
        running.stream().allMatch(r -> r.workload().startsWith("service:")),
        "work other than replicas is still running: " + running);
  }
}
