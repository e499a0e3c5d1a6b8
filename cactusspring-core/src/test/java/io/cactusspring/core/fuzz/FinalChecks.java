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

/** What has to hold once all faults are over and the work is done. */
final class FinalChecks {
  private static final long SETTLE_MILLIS = 20_000;
  private static final long FINISH_MILLIS = 60_000;
  private static final int AMPLE_LIMIT = 140;

  private final World world;
  private final Truth truth;

  FinalChecks(World world) {
    this.world = world;
    truth = world.truth();
  }

  void run() {
    world.stopLoad();
    world.heal();
    world.events().runFor(SETTLE_MILLIS);
    for (int i = 0; i < Cell.TEAMS.size(); i++) {
      world.callers().limit(world.host(0), "ample" + i, Cell.TEAMS.get(i), AMPLE_LIMIT);
    }
    world.events().runFor(FINISH_MILLIS);
    ClusterState all = world.log().reference();
    world.hosts().forEach(h -> checkHost(h, all));
    checkNotes(all);
    world.callers().submitted().forEach(s -> checkSubmission(s, all));
    checkReplicas(all);
  }

  private void checkHost(Host host, ClusterState all) {
    truth.check(host.isWorking(), host.name() + " does not work");
    String text = host.state().snapshot();
    truth.check(text.equals(all.snapshot()), host.name() + " has another state");
  }

  /** Replays the notes by the rule alone: the first that names the revision in force wins. */
  private void checkNotes(ClusterState all) {
    Map<String, Long> revisions = new HashMap<>();
    Map<String, Integer> limits = new HashMap<>();
    Set<String> seen = new HashSet<>();
    List<LogRecord> records = world.log().all();
    for (int i = 0; i < records.size(); i++) {
      if (records.get(i) instanceof LogRecord.NoteApplied n && seen.add(n.note().id())) {
        take(n.note(), i + 1L, revisions, limits);
      }
    }
    world.hosts().forEach(h -> limits.forEach((t, limit) -> checkLimit(h, t, limit)));
    truth.check(all.configuration().teams().size() == limits.size(), "teams are missing");
  }

  private static void take(
      ReleaseNote note, long offset, Map<String, Long> revisions, Map<String, Integer> limits) {
    for (Change change : note.changes()) {
      boolean isBased =
          change instanceof Change.Add
              || change instanceof Change.Replace r
                  && revisions.getOrDefault(r.path(), 0L) == r.basedOn();
      ConfigItem item =
          switch (change) {
            case Change.Add a -> a.item();
            case Change.Replace r -> r.item();
            case Change.Withdraw w -> null;
          };
      if (isBased && item instanceof ConfigItem.Team t) {
        revisions.put(t.path(), offset);
        limits.put(t.name(), t.maxRunning());
      }
    }
  }

  private void checkLimit(Host host, String team, int limit) {
    int there = host.state().configuration().team(team).orElseThrow().maxRunning();
    truth.check(there == limit, host.name() + " has limit " + there + " of " + team);
  }

  private void checkSubmission(Submission s, ClusterState all) {
    List<RunView> runs = all.runs(s.id());
    boolean isTaken = all.submission(s.id()).map(v -> v.accepted()).orElse(false);
    truth.check(
        isTaken || !world.callers().wasAccepted(s.id()), s.id() + " was accepted and is gone");
    runs.forEach(r -> checkRun(s, r));
  }

  private void checkRun(Submission s, RunView r) {
    truth.check(r.state() == RunState.ENDED, r.run() + " has not ended: " + r);
    if (r.outcome() == null) {
      return;
    }
    boolean isFailing = s.task().payload().equals(FakeWorker.FAILING_PAYLOAD);
    Set<Outcome> expected = EnumSet.of(isFailing ? Outcome.FAILED : Outcome.SUCCEEDED);
    if (!s.task().resources().fitsIn(World.WORKER_TOTAL)) {
      expected = EnumSet.of(Outcome.INFEASIBLE);
    }
    if (world.callers().wasCancelled(s.id())) {
      expected.add(Outcome.CANCELLED);
    }
    if (!s.task().idempotent()) {
      expected.addAll(EnumSet.of(Outcome.UNKNOWN, Outcome.FAILED));
    }
    boolean isBrokenGang = s.gang() && !s.task().idempotent();
    if (isBrokenGang) {
      expected.add(Outcome.CANCELLED);
    }
    truth.check(expected.contains(r.outcome()), r.run() + " ended as " + r.outcome());
    boolean isTrue = r.outcome() != Outcome.SUCCEEDED || truth.succeeded(r.run());
    truth.check(isTrue, r.run() + " is said to have succeeded and has not");
  }

  private void checkReplicas(ClusterState all) {
    List<RunId> running = truth.running();
    all.runs("service:feed").stream()
        .map(RunView::run)
        .forEach(r -> truth.check(running.contains(r), r + " does not run"));
    truth.check(
        running.stream().allMatch(r -> r.workload().startsWith("service:")),
        "still runs: " + running);
  }
}
