package io.cactusspring.core.state;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.core.config.Resolution;
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
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;

class ClusterStateTest {
  private static final ShardId SHARD = ShardId.parse("za/0");
  private final ClusterState state = new ClusterState();

  ClusterStateTest() {
    RecordStep.replay(state, List.of());
  }

  @Example
  void replicasAreSpreadOverTheShardsInOrder() {
    List<RunView> replicas = state.runs("service:s0");
    assertThat(replicas.stream().map(RunView::home).map(ShardId::toString).toList())
        .containsExactly("za/0", "zb/0")
        .inOrder();
  }

  @Example
  void withdrawnServiceEndsItsReplicasAndKeepsTheirNumbers() {
    long epoch = claim(0);
    start(epoch, "service:s0#0@1");
    long revision = state.configuration().revisionOf("service/s0");
    apply(note("n2", new Change.Withdraw("service/s0", revision)));
    RunView started = state.run(RunId.parse("service:s0#0")).orElseThrow();
    assertThat(started.state()).isEqualTo(RunState.STARTED);
    assertThat(started.cancelled()).isTrue();
    assertThat(state.run(RunId.parse("service:s0#1")).orElseThrow().state())
        .isEqualTo(RunState.ENDED);
    end(epoch, new LogRecord.End(TaskId.parse("service:s0#0@1"), Outcome.CANCELLED));
    apply(note("n3", new Change.Add(service(1))));
    RunView again = state.run(RunId.parse("service:s0#0")).orElseThrow();
    assertThat(again.state()).isEqualTo(RunState.PENDING);
    assertThat(again.attempt()).isEqualTo(1);
  }

  @Example
  void replicaThatFailsIsPendingAgain() {
    long epoch = claim(0);
    start(epoch, "service:s0#0@1");
    end(epoch, new LogRecord.End(TaskId.parse("service:s0#0@1"), Outcome.FAILED));
    assertThat(state.run(RunId.parse("service:s0#0")).orElseThrow().state())
        .isEqualTo(RunState.PENDING);
  }

  @Example
  void nonIdempotentGangEndsAsAWholeWhenAMemberFails() {
    TaskSpec once = TaskSpec.builder(new Resources(1, 1, 0)).idempotent(false).build();
    apply(new LogRecord.WorkSubmitted(new Submission("g1", "t0", true, 2, once), SHARD));
    long epoch = claim(0);
    List<LogRecord.Placement> placements =
        List.of(
            new LogRecord.Placement(TaskId.parse("g1#0@1"), "w1"),
            new LogRecord.Placement(TaskId.parse("g1#1@1"), "w2"));
    apply(new LogRecord.AttemptsStarted(SHARD, epoch, placements));
    end(epoch, LogRecord.End.notRun(TaskId.parse("g1#1@1")));
    assertThat(state.run(RunId.parse("g1#1")).orElseThrow().state()).isEqualTo(RunState.PENDING);
    end(epoch, new LogRecord.End(TaskId.parse("g1#0@1"), Outcome.FAILED));
    assertThat(state.run(RunId.parse("g1#1")).orElseThrow().outcome()).isEqualTo(Outcome.CANCELLED);
  }

  @Example
  void submissionOfUnknownTeamIsVoidedWithReason() {
    apply(new LogRecord.WorkSubmitted(submission("b1", "nobody", 1), SHARD));
    SubmissionView view = state.submission("b1").orElseThrow();
    assertThat(view.accepted()).isFalse();
    assertThat(view.reason()).isEqualTo("team nobody does not exist");
  }

  @Example
  void voidedIdIsNeverAccepted() {
    apply(new LogRecord.SubmissionVoided("b1"));
    assertThat(apply(new LogRecord.WorkSubmitted(submission("b1", "t0", 1), SHARD))).isEmpty();
    assertThat(state.submission("b1").orElseThrow().accepted()).isFalse();
  }

  @Example
  void zoneWithLiveRunsKeepsItsShards() {
    long revision = state.configuration().revisionOf("zone/za");
    apply(note("n2", new Change.Withdraw("zone/za", revision)));
    NoteStatus status = state.note("n2").orElseThrow();
    assertThat(((NoteStatus.Refused) status).reason()).isInstanceOf(Resolution.Invalid.class);
  }

  @Example
  void workOfAWithdrawnTeamIsCancelled() {
    apply(new LogRecord.WorkSubmitted(submission("b1", "t1", 2), SHARD));
    long revision = state.configuration().revisionOf("team/t1");
    List<StateChange> changes = apply(note("n2", new Change.Withdraw("team/t1", revision)));
    assertThat(changes).contains(new StateChange.WorkCancelled("b1", SHARD));
    assertThat(state.liveRuns(SHARD).stream().map(RunView::team).toList()).doesNotContain("t1");
  }

  @Example
  void loweredLimitShrinksAllPartsInProportion() {
    BudgetAccount from = state.configuration().accounts().getFirst();
    BudgetAccount to = state.configuration().accounts().getLast();
    long revision = state.configuration().revisionOf("team/t1");
    apply(new LogRecord.BudgetMoved("m1", "t1", from, to, 2, revision, 0));
    assertThat(budgets("t1")).containsExactly(1, 3, 3, 3, 3, 3, 4).inOrder();
    apply(note("n2", new Change.Replace(new ConfigItem.Team("t1", 2, 10, true), revision)));
    assertThat(budgets("t1")).containsExactly(1, 2, 2, 1, 1, 1, 2).inOrder();
    assertThat(apply(new LogRecord.BudgetMoved("m2", "t1", from, to, 1, revision, 0))).isEmpty();
  }

  @Example
  void replacedOwnerCannotMoveBudgetOfItsSuccessor() {
    long first = claim(0);
    claim(first);
    BudgetAccount from = BudgetAccount.of(SHARD);
    BudgetAccount to = state.configuration().accounts().getFirst();
    long revision = state.configuration().revisionOf("team/t1");
    assertThat(apply(new LogRecord.BudgetMoved("m1", "t1", from, to, 1, revision, first)))
        .isEmpty();
    assertThat(state.budget("t1", from)).isEqualTo(3);
  }

  @Example
  void endedWorkIsEvictedByCountAndItsIdCannotBeReused() {
    int size = 10_000;
    apply(new LogRecord.WorkSubmitted(submission("b1", "t0", size), SHARD));
    apply(new LogRecord.WorkSubmitted(submission("b2", "t0", size), SHARD));
    apply(new LogRecord.WorkSubmitted(submission("b3", "t0", 1), SHARD));
    List.of("b2", "b1", "b3").forEach(id -> apply(new LogRecord.WorkCancelled(id)));
    assertThat(state.runs("b2")).isEmpty();
    assertThat(state.runs("b1")).hasSize(size);
    assertThat(state.submission("b2").orElseThrow().accepted()).isTrue();
    assertThat(apply(new LogRecord.WorkSubmitted(submission("b2", "t0", 1), SHARD))).isEmpty();
  }

  @Example
  void offsetsMayLeaveGapsButNeverGoBack() {
    long next = state.nextOffset();
    state.skip(next + 5);
    assertThat(state.nextOffset()).isEqualTo(next + 6);
    assertThrows(IllegalArgumentException.class, () -> state.skip(next));
  }

  @Example
  void snapshotIsAssembledFromPartsInAnyOrder() {
    List<LogRecord.SnapshotPart> parts =
        SnapshotAssembler.split("p", state.nextOffset(), state.snapshot(), 100);
    LogRecord.SnapshotPart[] shuffled = parts.toArray(LogRecord.SnapshotPart[]::new);
    Collections.shuffle(Arrays.asList(shuffled), new Random(1));
    SnapshotAssembler assembler = new SnapshotAssembler();
    Arrays.stream(shuffled).skip(1).forEach(assembler::add);
    assertThat(assembler.newest()).isEmpty();
    assembler.add(shuffled[0]);
    assertThat(assembler.newest().orElseThrow().text()).isEqualTo(state.snapshot());
  }

  private List<StateChange> apply(LogRecord r) {
    return state.apply(state.nextOffset(), r);
  }

  private long claim(long supersedes) {
    long epoch = state.nextOffset();
    apply(new LogRecord.ShardClaimed(SHARD, "za-1", "i1", supersedes));
    return epoch;
  }

  private void start(long epoch, String task) {
    LogRecord.Placement p = new LogRecord.Placement(TaskId.parse(task), "w1");
    apply(new LogRecord.AttemptsStarted(SHARD, epoch, List.of(p)));
  }

  private void end(long epoch, LogRecord.End end) {
    apply(new LogRecord.RunsEnded(SHARD, epoch, List.of(end)));
  }

  private List<Integer> budgets(String team) {
    return state.configuration().accounts().stream().map(a -> state.budget(team, a)).toList();
  }

  private static LogRecord note(String id, Change change) {
    return new LogRecord.NoteApplied(new ReleaseNote(id, "ops", List.of(change)));
  }

  private static Submission submission(String id, String team, int tasks) {
    return new Submission(id, team, false, tasks, spec());
  }

  private static ConfigItem.Service service(int replicas) {
    return new ConfigItem.Service("s0", "t0", replicas, spec());
  }

  private static TaskSpec spec() {
    return TaskSpec.builder(new Resources(100, 10, 0)).build();
  }
}
