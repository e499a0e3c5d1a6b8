package io.cactusspring.core.state;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.Outcome;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * Generates a record that is valid or nearly valid in a state. Names come from small ranges, so
 * that records often refer to the same items.
 *
 * @param stale whether one field is outdated, as in a record of a late or repeated sender
 */
record RecordStep(int kind, int a, int b, int c, boolean stale) {
  private static final int KINDS = 20;
  private static final int MAX_STEPS = 60;
  private static final Outcome[] OUTCOMES = {
    null, Outcome.SUCCEEDED, Outcome.FAILED, Outcome.CANCELLED, Outcome.UNKNOWN, Outcome.INFEASIBLE
  };

  static Arbitrary<List<RecordStep>> sequences() {
    Arbitrary<Integer> small = Arbitraries.integers().between(0, 11);
    return Combinators.combine(
            Arbitraries.integers().between(0, KINDS - 1),
            small,
            small,
            small,
            Arbitraries.of(false, false, false, true))
        .as(RecordStep::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(MAX_STEPS);
  }

  /** Records that configure a cell with two zones, two teams and a service. */
  static List<LogRecord> initialRecords() {
    List<Change> changes =
        List.of(
            new Change.Add(zone("za", 1)),
            new Change.Add(zone("zb", 2)),
            new Change.Add(new ConfigItem.Team("t0", 1, 7, false)),
            new Change.Add(new ConfigItem.Team("t1", 2, 20, true)),
            new Change.Add(new ConfigItem.Service("s0", "t0", 2, spec(0, true))));
    return List.of(new LogRecord.NoteApplied(new ReleaseNote("first", "ops", changes)));
  }

  LogRecord record(ClusterState s) {
    ShardId shard = shard(a);
    long epoch = s.claim(shard).map(Claim::epoch).orElse(0L) - (stale ? 1 : 0);
    return switch (kind) {
      case 0, 1 -> new LogRecord.ShardClaimed(shard, "h" + b, "i" + c, Math.max(0, epoch));
      case 2, 3, 4 -> new LogRecord.WorkSubmitted(submission(), shard(c));
      case 5 -> new LogRecord.SubmissionVoided("b" + a);
      case 6 -> new LogRecord.WorkCancelled("b" + a);
      case 7, 8, 9, 10 -> new LogRecord.AttemptsStarted(shard, epoch, placements(s, shard));
      case 11, 12, 13 -> new LogRecord.RunsEnded(shard, epoch, ends(s, shard));
      case 14 -> new LogRecord.WorkMoved(shard, epoch, shard(b), pending(s, shard));
      case 15, 16 -> budgetMove(s);
      default -> new LogRecord.NoteApplied(note(s));
    };
  }

  private Submission submission() {
    return new Submission("b" + a, "t" + b % 3, c % 3 == 0, 1 + c % 4, spec(b, b % 2 == 0));
  }

  private List<LogRecord.Placement> placements(ClusterState s, ShardId shard) {
    return s.liveRuns(shard).stream()
        .filter(r -> r.state() == RunState.PENDING && r.run().index() >= c % 3)
        .map(r -> new TaskId(r.run(), Math.max(1, r.attempt() + (stale ? 0 : 1))))
        .map(t -> new LogRecord.Placement(t, "w" + b))
        .toList();
  }

  private List<LogRecord.End> ends(ClusterState s, ShardId shard) {
    return s.liveRuns(shard).stream()
        .filter(r -> r.run().index() % 3 <= b % 3)
        .map(r -> new TaskId(r.run(), Math.max(1, r.attempt() + (c > 10 ? 1 : 0))))
        .map(t -> new LogRecord.End(t, OUTCOMES[c % OUTCOMES.length], c == 6))
        .toList();
  }

  private List<RunId> pending(ClusterState s, ShardId shard) {
    return s.liveRuns(shard).stream()
        .filter(r -> r.state() == RunState.PENDING)
        .map(RunView::run)
        .filter(r -> r.index() >= c % 2)
        .toList();
  }

  private LogRecord budgetMove(ClusterState s) {
    String team = "t" + a % 3;
    List<BudgetAccount> accounts = s.configuration().accounts();
    BudgetAccount from =
        accounts.isEmpty() ? BudgetAccount.ofHost("h0") : accounts.get(b % accounts.size());
    BudgetAccount to =
        accounts.isEmpty() ? BudgetAccount.ofHost("h1") : accounts.get(c % accounts.size());
    long revision = s.configuration().revisionOf("team/" + team) - (stale ? 1 : 0);
    return new LogRecord.BudgetMoved(
        "m" + a + b + c, team, from, to, 1 + b, revision, epochOf(s, from));
  }

  private long epochOf(ClusterState s, BudgetAccount from) {
    return from.shard().flatMap(s::claim).map(Claim::epoch).orElse(0L) - (c % 4 == 3 ? 1 : 0);
  }

  private ReleaseNote note(ClusterState s) {
    ConfigItem item = item();
    long revision = s.configuration().revisionOf(item.path());
    long basedOn = revision - (stale ? 1 : 0);
    Change change =
        revision == 0
            ? new Change.Add(item)
            : c == 0
                ? new Change.Withdraw(item.path(), basedOn)
                : new Change.Replace(item, basedOn);
    return new ReleaseNote("n" + a + "-" + b + "-" + c, "ops" + c % 2, List.of(change));
  }

  private ConfigItem item() {
    return switch (a % 6) {
      case 0 -> zone("z" + (char) ('a' + b % 3), 1 + c % 2);
      case 1, 2 -> new ConfigItem.Team("t" + b % 3, 1 + c, 3 * c, c % 2 == 0);
      case 3 -> new ConfigItem.Key("k" + b % 2, "t" + c % 3, false, "aa", "bb");
      default -> new ConfigItem.Service("s" + b % 2, "t" + c % 2, c % 4, spec(c, true));
    };
  }

  private static ConfigItem.Zone zone(String name, int shards) {
    return new ConfigItem.Zone(name, "riga", shards, List.of(name + "-1", name + "-2"));
  }

  private static ShardId shard(int n) {
    return new ShardId(new AvailabilityZone(n % 3 == 0 ? "za" : "zb"), n % 3 == 2 ? 1 : 0);
  }

  private static TaskSpec spec(int n, boolean idempotent) {
    return TaskSpec.builder(new Resources(100L * (1 + n), 10, 0)).idempotent(idempotent).build();
  }

  /** Replays the initial records and a sequence; returns the records that the steps generated. */
  static List<LogRecord> replay(ClusterState s, List<RecordStep> steps) {
    initialRecords().forEach(r -> s.apply(s.nextOffset(), r));
    return steps.stream().map(step -> applyTo(s, step)).toList();
  }

  private static LogRecord applyTo(ClusterState s, RecordStep step) {
    LogRecord r = step.record(s);
    s.apply(s.nextOffset(), r);
    return r;
  }

  static List<RunView> allRuns(ClusterState s) {
    List<String> ids = IntStream.range(0, 12).mapToObj(i -> "b" + i).toList();
    return ids.stream().flatMap(id -> s.runs(id).stream()).toList();
  }
}
