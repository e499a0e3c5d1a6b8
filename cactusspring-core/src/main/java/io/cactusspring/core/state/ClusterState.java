package io.cactusspring.core.state;

import io.cactusspring.core.codec.CodecException;
import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.config.NoteResolver;
import io.cactusspring.core.config.Resolution;
import io.cactusspring.core.model.Arguments;
import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.LogRecord.End;
import io.cactusspring.core.model.LogRecord.Placement;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;

/**
 * State of the cell after the records replayed so far. It depends only on the records and their
 * order, so all entry hosts agree on it. Not thread-safe.
 *
 * <pre>{@code
 * ClusterState state = new ClusterState();
 * List<StateChange> changes = state.apply(offset, codec.decode(text));
 * }</pre>
 *
 * @since 0.1
 */
public final class ClusterState {
  static final int MAX_NOTES = 4_096;
  static final long FIRST_OFFSET = 1;

  private final Claims claims;
  private final BoundedHistory<NoteStatus> notes = new BoundedHistory<>(MAX_NOTES);
  private final Budgets budgets;
  private final Workloads workloads = new Workloads();
  private final RunRules rules;
  private final Replicas replicas;
  private Configuration configuration = Configuration.EMPTY;
  private long nextOffset = FIRST_OFFSET;

  public ClusterState() {
    this(new Claims(), new Budgets(), RunRules::new);
  }

  /** Creates a state with other rules, for tests that check that a broken rule is detected. */
  ClusterState(Claims claims, Budgets budgets, Function<Workloads, RunRules> rules) {
    this.claims = claims;
    this.budgets = budgets;
    this.rules = rules.apply(workloads);
    replicas = new Replicas(workloads, this.rules);
  }

  /**
   * Replays one record.
   *
   * @return what it changed; empty for a record that is void or repeated
   * @throws IllegalArgumentException if the offset lies before {@link #nextOffset}
   */
  public List<StateChange> apply(long offset, LogRecord record) {
    skip(offset);
    return switch (record) {
      case LogRecord.NoteApplied r -> applyNote(offset, r.note());
      case LogRecord.ShardClaimed r -> claim(offset, r);
      case LogRecord.WorkSubmitted r -> submit(offset, r);
      case LogRecord.SubmissionVoided r -> voidSubmission(offset, r.submission());
      case LogRecord.WorkCancelled r -> cancel(r.submission());
      case LogRecord.AttemptsStarted r -> start(r);
      case LogRecord.RunsEnded r -> end(r);
      case LogRecord.WorkMoved r -> move(r);
      case LogRecord.BudgetMoved r -> moveBudget(r);
      case LogRecord.SnapshotPart r -> List.of();
    };
  }

  /**
   * Skips a record that cannot be decoded.
   *
   * @throws IllegalArgumentException if the offset lies before {@link #nextOffset}
   */
  public void skip(long offset) {
    Arguments.checkRange("offset", offset, nextOffset, Long.MAX_VALUE - 1);
    nextOffset = offset + 1;
  }

  /** Returns the smallest offset that the next record may have. */
  public long nextOffset() {
    return nextOffset;
  }

  public Configuration configuration() {
    return configuration;
  }

  /** Resolves a note as if its record were the next one, without applying it. */
  public Resolution resolve(ReleaseNote note) {
    return resolve(nextOffset, note);
  }

  /** Returns the status of a note; empty if it was not read or was evicted. */
  public Optional<NoteStatus> note(String id) {
    return notes.get(id);
  }

  public Optional<Claim> claim(ShardId shard) {
    return claims.of(shard);
  }

  /** Returns the state of a submission id; empty if it was not read or was evicted. */
  public Optional<SubmissionView> submission(String id) {
    return workloads.submission(id);
  }

  public Optional<RunView> run(RunId run) {
    Workload w = workloads.find(run.workload());
    boolean isThere = w != null && run.index() < w.size();
    return isThere ? Optional.of(w.view(run.index())) : Optional.empty();
  }

  /** Returns all runs of a submission or of {@code service:NAME}, in order; empty if unknown. */
  public List<RunView> runs(String workload) {
    Workload w = workloads.find(workload);
    return w == null ? List.of() : IntStream.range(0, w.size()).mapToObj(w::view).toList();
  }

  /** Returns the runs of a home shard that have not ended, in order. */
  public List<RunView> liveRuns(ShardId home) {
    return workloads.liveRuns(home);
  }

  /** Returns the part of a team's upper limit that an account holds. */
  public int budget(String team, BudgetAccount account) {
    return budgets.of(team, account);
  }

  /** Encodes the state; equal states have equal encodings. */
  public String snapshot() {
    return StateImage.of(this).encode();
  }

  /**
   * Restores an encoded state.
   *
   * @throws CodecException if the text is not a valid snapshot
   */
  public static ClusterState restore(String snapshot) throws CodecException {
    return StateImage.decode(snapshot).restoreInto(new ClusterState());
  }

  Map<ShardId, Claim> claims() {
    return claims.all();
  }

  BoundedHistory<NoteStatus> notes() {
    return notes;
  }

  Budgets budgets() {
    return budgets;
  }

  Workloads workloads() {
    return workloads;
  }

  void restorePosition(Configuration restored, long offset) {
    configuration = restored;
    nextOffset = offset;
  }

  private Resolution resolve(long offset, ReleaseNote note) {
    Resolution r = NoteResolver.resolve(configuration, offset, note);
    if (!(r instanceof Resolution.Accepted a)) {
      return r;
    }
    List<String> problems = workloads.resizeProblems(configuration, a.configuration());
    return problems.isEmpty() ? r : new Resolution.Invalid(problems);
  }

  private List<StateChange> applyNote(long offset, ReleaseNote note) {
    if (notes.contains(note.id())) {
      return List.of();
    }
    Resolution r = resolve(offset, note);
    List<StateChange> changes = new ArrayList<>();
    changes.add(new StateChange.NoteResolved(note.id(), r));
    if (r instanceof Resolution.Accepted a) {
      notes.put(note.id(), new NoteStatus.Accepted(offset));
      changes.addAll(applyConfiguration(a.configuration(), offset));
    } else {
      notes.put(note.id(), new NoteStatus.Refused(offset, r));
    }
    return changes;
  }

  private List<StateChange> applyConfiguration(Configuration next, long offset) {
    Configuration before = configuration;
    configuration = next;
    List<StateChange> changes = new ArrayList<>();
    changes.add(new StateChange.ConfigurationChanged(offset));
    claims
        .removeResized(before, next)
        .forEach(c -> changes.add(new StateChange.ClaimChanged(c, null)));
    budgets.reconcile(next).forEach(t -> changes.add(new StateChange.BudgetChanged(t)));
    before.teams().stream()
        .filter(t -> next.team(t.name()).isEmpty())
        .flatMap(t -> workloads.liveOf(t.name()).stream())
        .filter(w -> !w.service())
        .forEach(w -> changes.addAll(cancel(w)));
    changes.addAll(replicas.reconcile(before, next, offset));
    return changes;
  }

  private List<StateChange> claim(long offset, LogRecord.ShardClaimed r) {
    return claims.apply(offset, r, configuration).stream()
        .<StateChange>map(c -> new StateChange.ClaimChanged(r.shard(), c))
        .toList();
  }

  private List<StateChange> submit(long offset, LogRecord.WorkSubmitted r) {
    Submission s = r.submission();
    if (workloads.isIdUsed(s.id())) {
      return List.of();
    }
    Optional<String> refusal = Workloads.refusal(s, r.home(), configuration);
    if (refusal.isPresent()) {
      workloads.closeId(s.id(), refusal.get(), offset);
      return List.of(new StateChange.SubmissionVoided(s.id()));
    }
    workloads.submit(s, r.home(), offset);
    return List.of(new StateChange.WorkAccepted(s.id(), r.home()));
  }

  private List<StateChange> voidSubmission(long offset, String id) {
    if (workloads.isIdUsed(id)) {
      return List.of();
    }
    workloads.closeId(id, "voided before it was read", offset);
    return List.of(new StateChange.SubmissionVoided(id));
  }

  private List<StateChange> cancel(String id) {
    Workload w = Workload.isService(id) ? null : workloads.find(id);
    return w == null || w.cancelled() || w.live() == 0 ? List.of() : cancel(w);
  }

  private List<StateChange> cancel(Workload w) {
    if (w.cancelled()) {
      return List.of();
    }
    List<StateChange> changes = new ArrayList<>();
    changes.add(new StateChange.WorkCancelled(w.id, w.home()));
    Map<ShardId, List<End>> ended = rules.cancel(w);
    ended.forEach((shard, ends) -> changes.add(new StateChange.RunsEnded(shard, ends)));
    return changes;
  }

  private List<StateChange> start(LogRecord.AttemptsStarted r) {
    if (!claims.isCurrentEpoch(r.shard(), r.epoch())) {
      return List.of();
    }
    List<Placement> valid = rules.start(r.shard(), r.placements());
    return valid.isEmpty() ? List.of() : List.of(new StateChange.RunsStarted(r.shard(), valid));
  }

  private List<StateChange> end(LogRecord.RunsEnded r) {
    if (!claims.isCurrentEpoch(r.shard(), r.epoch())) {
      return List.of();
    }
    List<End> applied = rules.end(r.shard(), r.ends());
    return applied.isEmpty() ? List.of() : List.of(new StateChange.RunsEnded(r.shard(), applied));
  }

  private List<StateChange> move(LogRecord.WorkMoved r) {
    boolean hasTarget = configuration.shards().contains(r.to()) && !r.to().equals(r.from());
    if (!hasTarget || !claims.isCurrentEpoch(r.from(), r.epoch())) {
      return List.of();
    }
    List<RunId> moved = rules.move(r.from(), r.to(), r.runs());
    return moved.isEmpty()
        ? List.of()
        : List.of(new StateChange.WorkMoved(r.from(), r.to(), moved));
  }

  private List<StateChange> moveBudget(LogRecord.BudgetMoved r) {
    boolean isLate = r.from().shard().filter(s -> !claims.isCurrentEpoch(s, r.epoch())).isPresent();
    return !isLate && budgets.move(r, configuration)
        ? List.of(new StateChange.BudgetChanged(r.team()))
        : List.of();
  }
}
