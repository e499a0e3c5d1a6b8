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

/** Simulates callers and operators and the answers of the entry hosts to them. */
final class Callers {
  private static final long READ_BACK_MILLIS = 3_000;

  private final Simulation simulation;
  private final List<Submission> submitted = new ArrayList<>();
  private final Set<String> accepted = new HashSet<>();
  private final Set<String> cancelled = new HashSet<>();
  private final Map<String, Boolean> acceptedByNote = new HashMap<>();

  Callers(Simulation simulation) {
    this.simulation = simulation;
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
    simulation.oracle().recordSubmission(s);
    host.run(() -> handleSubmission(host, s, home));
  }

  private void handleSubmission(Host host, Submission s, ShardId home) {
    if (!host.logAvailable()) {
      simulation.oracle().recordNotRunRefusal(s.id());
      return;
    }
    host.append(List.of(new LogRecord.WorkSubmitted(s, home)), a -> {});
    simulation
        .events()
        .schedule(READ_BACK_MILLIS, () -> host.run(() -> answer(host, s.id(), false)));
  }

  /**
   * Answers a caller. A record that was not read back may still be appended later, unless a record
   * that voids it precedes it.
   */
  private void answer(Host host, String id, boolean voided) {
    Optional<SubmissionView> view = host.state().submission(id);
    if (view.isPresent() && view.get().accepted()) {
      accepted.add(id);
    } else if (view.isPresent() || !simulation.guards().contains(Guard.VOID_RECORD)) {
      simulation.oracle().recordNotRunRefusal(id);
    } else if (!voided) {
      host.append(List.of(new LogRecord.SubmissionVoided(id)), a -> {});
      simulation.events().schedule(READ_BACK_MILLIS, () -> host.run(() -> answer(host, id, true)));
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

  void changeLimit(Host host, String id, String team, int limit) {
    host.run(() -> appendLimitChange(host, id, team, limit));
  }

  private void appendLimitChange(Host host, String id, String team, int limit) {
    Optional<Change> change = CellFixture.limitChange(team, limit, host.state());
    change.ifPresent(
        c ->
            host.append(
                List.of(new LogRecord.NoteApplied(new ReleaseNote(id, "ops", List.of(c)))),
                a -> {}));
  }

  /** Checks that all hosts resolve each note alike. */
  void onStateChange(Host host, StateChange change) {
    if (change instanceof StateChange.NoteResolved n) {
      boolean isAccepted = n.resolution() instanceof Resolution.Accepted;
      boolean first = acceptedByNote.computeIfAbsent(n.id(), k -> isAccepted);
      simulation
          .oracle()
          .check(
              first == isAccepted,
              host.name() + " resolves otherwise than an earlier host: note " + n.id());
    }
  }
}
