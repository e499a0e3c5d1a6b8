package io.cactusspring.core.fuzz;

import io.cactusspring.core.config.Resolution;
import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.state.StateChange;
import io.cactusspring.core.state.SubmissionView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Callers and operators, and what the entry hosts answer them. */
final class Callers {
  private static final long READ_BACK_MILLIS = 3_000;

  private final World world;
  private final List<Submission> submitted = new ArrayList<>();
  private final Set<String> accepted = new HashSet<>();
  private final Set<String> cancelled = new HashSet<>();
  private final Map<String, Boolean> verdicts = new HashMap<>();

  Callers(World world) {
    this.world = world;
  }

  List<Submission> submitted() {
    return submitted;
  }

  boolean wasAccepted(String id) {
    return accepted.contains(id);
  }

  boolean wasCancelled(String id) {
    return cancelled.contains(id);
  }

  void submit(Host host, Submission s, ShardId home) {
    submitted.add(s);
    world.truth().expect(s);
    host.run(() -> take(host, s, home));
  }

  private void take(Host host, Submission s, ShardId home) {
    if (!host.logAvailable()) {
      world.truth().refusedAsNotRun(s.id());
      return;
    }
    host.append(List.of(new LogRecord.WorkSubmitted(s, home)), a -> {});
    world.events().after(READ_BACK_MILLIS, () -> host.run(() -> answer(host, s.id(), false)));
  }

  /** Answers a caller; a record that was not read back may land later, until a void precedes it. */
  private void answer(Host host, String id, boolean voided) {
    Optional<SubmissionView> view = host.state().submission(id);
    if (view.isPresent() && view.get().accepted()) {
      accepted.add(id);
    } else if (view.isPresent() || !world.guards().contains(Guards.VOID_RECORD)) {
      world.truth().refusedAsNotRun(id);
    } else if (!voided) {
      host.append(List.of(new LogRecord.SubmissionVoided(id)), a -> {});
      world.events().after(READ_BACK_MILLIS, () -> host.run(() -> answer(host, id, true)));
    }
  }

  void cancel(Host host, int n) {
    if (submitted.isEmpty()) {
      return;
    }
    String id = submitted.get(Math.floorMod(n, submitted.size())).id();
    cancelled.add(id);
    host.run(() -> host.append(List.of(new LogRecord.WorkCancelled(id)), a -> {}));
  }

  void limit(Host host, String id, String team, int limit) {
    host.run(() -> change(host, id, team, limit));
  }

  private void change(Host host, String id, String team, int limit) {
    Optional<Change> change = Cell.limitChange(team, limit, host.state());
    change.ifPresent(
        c ->
            host.append(
                List.of(new LogRecord.NoteApplied(new ReleaseNote(id, "ops", List.of(c)))),
                a -> {}));
  }

  /** Holds the hosts' verdicts on notes against each other. */
  void changed(Host host, StateChange change) {
    if (change instanceof StateChange.NoteResolved n) {
      boolean taken = n.resolution() instanceof Resolution.Accepted;
      boolean first = verdicts.computeIfAbsent(n.id(), k -> taken);
      world.truth().check(first == taken, host.name() + " disagrees on note " + n.id());
    }
  }
}
