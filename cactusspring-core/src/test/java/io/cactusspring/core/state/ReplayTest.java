package io.cactusspring.core.state;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cactusspring.core.codec.CodecException;
import io.cactusspring.core.codec.RecordCodec;
import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.TaskId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Checks replay against simple oracles, and that a disabled guard makes the checks fail. */
class ReplayTest {
  private static final String SEED = "20261204";
  private static final int TRIES = 400;

  @Provide
  Arbitrary<List<RecordStep>> sequences() {
    return RecordStep.sequences();
  }

  @Property(tries = TRIES, seed = SEED)
  void stateRestoredFromSnapshotEqualsStateReplayedThrough(
      @ForAll("sequences") List<RecordStep> steps, @ForAll int cut) throws CodecException {
    checkRestore(steps, cut, Function.identity());
  }

  @Property(tries = TRIES, seed = SEED)
  void decodedRecordsGiveTheSameState(@ForAll("sequences") List<RecordStep> steps)
      throws CodecException {
    RecordCodec codec = new RecordCodec();
    ClusterState first = new ClusterState();
    ClusterState second = new ClusterState();
    RecordStep.initialRecords().forEach(r -> second.apply(second.nextOffset(), r));
    for (LogRecord r : RecordStep.replay(first, steps)) {
      second.apply(second.nextOffset(), codec.decode(codec.encode(r)));
    }
    assertThat(second.snapshot()).isEqualTo(first.snapshot());
  }

  @Property(tries = TRIES, seed = SEED)
  void budgetsSumToTheLimitAndAreNeverNegative(@ForAll("sequences") List<RecordStep> steps) {
    checkBudgets(steps, new ClusterState());
  }

  @Property(tries = TRIES, seed = SEED)
  void recordsOfAReplacedOwnerChangeNothing(@ForAll("sequences") List<RecordStep> steps) {
    checkEpochs(steps, new ClusterState());
  }

  @Property(tries = TRIES, seed = SEED)
  void repeatedRecordsChangeNothing(@ForAll("sequences") List<RecordStep> steps) {
    checkRepeats(steps, new ClusterState());
  }

  @Property(tries = TRIES, seed = SEED)
  void startedRunThatIsNotIdempotentIsNeverPendingAgain(
      @ForAll("sequences") List<RecordStep> steps) {
    checkNotIdempotent(steps, new ClusterState());
  }

  @Property(tries = TRIES, seed = SEED)
  void nonIdempotentGangStartsAsAWhole(@ForAll("sequences") List<RecordStep> steps) {
    checkGangs(steps, new ClusterState());
  }

  @Example
  void snapshotWithoutAFieldIsDetected() {
    for (String field : List.of("claims", "notes", "budgets", "moves", "ended", "closed")) {
      assertDetected(steps -> checkRestore(steps, steps.size(), text -> without(text, field)));
    }
  }

  @Example
  void budgetMoveWithoutBalanceCheckIsDetected() {
    assertDetected(steps -> checkBudgets(steps, stateWith(new Claims(), new UncheckedBudgets())));
  }

  @Example
  void uncheckedEpochIsDetected() {
    assertDetected(steps -> checkEpochs(steps, stateWith(new UncheckedEpochs(), new Budgets())));
  }

  @Example
  void repeatedBudgetMoveIsDetected() {
    assertDetected(steps -> checkRepeats(steps, stateWith(new Claims(), new RepeatableBudgets())));
  }

  @Example
  void restartOfNonIdempotentRunIsDetected() {
    assertDetected(
        steps ->
            checkNotIdempotent(
                steps, new ClusterState(new Claims(), new Budgets(), UnconditionalRestarts::new)));
  }

  @Example
  void partialGangStartIsDetected() {
    assertDetected(
        steps ->
            checkGangs(
                steps, new ClusterState(new Claims(), new Budgets(), PartialGangStarts::new)));
  }

  private interface Check {
    void on(List<RecordStep> steps) throws CodecException;
  }

  private static void assertDetected(Check check) {
    List<List<RecordStep>> samples =
        RecordStep.sequences().list().ofSize(TRIES).generator(1000).next(new Random(42)).value();
    assertThrows(
        AssertionError.class,
        () -> {
          for (List<RecordStep> steps : samples) {
            check.on(steps);
          }
        });
  }

  private static void checkRestore(List<RecordStep> steps, int cut, Function<String, String> damage)
      throws CodecException {
    int at = Math.floorMod(cut, steps.size() + 1);
    ClusterState whole = new ClusterState();
    RecordStep.replay(whole, steps.subList(0, at));
    ClusterState restored = ClusterState.restore(damage.apply(whole.snapshot()));
    for (RecordStep step : steps.subList(at, steps.size())) {
      LogRecord r = step.record(whole);
      List<StateChange> expected = whole.apply(whole.nextOffset(), r);
      assertThat(restored.apply(restored.nextOffset(), r)).isEqualTo(expected);
    }
    assertThat(restored.snapshot()).isEqualTo(whole.snapshot());
  }

  private static void checkBudgets(List<RecordStep> steps, ClusterState s) {
    RecordStep.replay(s, List.of());
    for (RecordStep step : steps) {
      s.apply(s.nextOffset(), step.record(s));
      List<BudgetAccount> accounts = s.configuration().accounts();
      for (ConfigItem.Team t : s.configuration().teams()) {
        List<Integer> parts = accounts.stream().map(a -> s.budget(t.name(), a)).toList();
        int sum = parts.stream().mapToInt(Integer::intValue).sum();
        assertThat(sum).isEqualTo(accounts.isEmpty() ? 0 : t.maxRunning());
        assertThat(parts.stream().allMatch(p -> p >= 0)).isTrue();
      }
    }
  }

  private static void checkEpochs(List<RecordStep> steps, ClusterState s) {
    RecordStep.replay(s, List.of());
    Map<ShardId, Long> epochs = new HashMap<>();
    for (RecordStep step : steps) {
      LogRecord r = step.record(s);
      long offset = s.nextOffset();
      List<StateChange> changes = s.apply(offset, r);
      switch (r) {
        case LogRecord.ShardClaimed c -> {
          boolean names = epochs.getOrDefault(c.shard(), 0L) == c.supersedes();
          boolean exists = s.configuration().shards().contains(c.shard());
          assertThat(changes.isEmpty()).isEqualTo(!names || !exists);
        }
        case LogRecord.AttemptsStarted a -> assertIgnored(epochs, a.shard(), a.epoch(), changes);
        case LogRecord.RunsEnded e -> assertIgnored(epochs, e.shard(), e.epoch(), changes);
        case LogRecord.BudgetMoved b when b.from().shard().isPresent() ->
            assertIgnored(epochs, b.from().shard().get(), b.epoch(), changes);
        case LogRecord.WorkMoved m -> assertIgnored(epochs, m.from(), m.epoch(), changes);
        default -> {}
      }
      for (StateChange change : changes) {
        if (change instanceof StateChange.ClaimChanged c) {
          epochs.put(c.shard(), c.claim() == null ? 0L : offset);
        }
      }
    }
  }

  private static void assertIgnored(
      Map<ShardId, Long> epochs, ShardId shard, long epoch, List<StateChange> changes) {
    if (epochs.getOrDefault(shard, 0L) != epoch || epoch == 0) {
      assertThat(changes).isEmpty();
    }
  }

  private static void checkRepeats(List<RecordStep> steps, ClusterState s) {
    RecordStep.replay(s, List.of());
    for (RecordStep step : steps) {
      LogRecord r = step.record(s);
      s.apply(s.nextOffset(), r);
      assertThat(s.apply(s.nextOffset(), r)).isEmpty();
    }
  }

  private static void checkNotIdempotent(List<RecordStep> steps, ClusterState s) {
    RecordStep.replay(s, List.of());
    Set<RunId> ran = new HashSet<>();
    for (RecordStep step : steps) {
      LogRecord r = step.record(s);
      for (StateChange change : s.apply(s.nextOffset(), r)) {
        if (change instanceof StateChange.RunsStarted started) {
          started.placements().forEach(p -> ran.add(p.task().run()));
        }
        if (change instanceof StateChange.RunsEnded ended) {
          ended.ends().stream()
              .filter(LogRecord.End::notRun)
              .map(LogRecord.End::task)
              .map(TaskId::run)
              .forEach(ran::remove);
        }
      }
      RecordStep.allRuns(s).stream()
          .filter(v -> ran.contains(v.run()) && !v.spec().idempotent())
          .forEach(v -> assertThat(v.state()).isNotEqualTo(RunState.PENDING));
    }
  }

  private static void checkGangs(List<RecordStep> steps, ClusterState s) {
    RecordStep.replay(s, List.of());
    for (RecordStep step : steps) {
      LogRecord r = step.record(s);
      for (StateChange change : s.apply(s.nextOffset(), r)) {
        if (change instanceof StateChange.RunsStarted started) {
          started.placements().forEach(p -> assertNoMemberPending(s, p.task().run()));
        }
      }
    }
  }

  private static void assertNoMemberPending(ClusterState s, RunId run) {
    List<RunView> members = s.runs(run.workload());
    boolean isOnce = !members.getFirst().spec().idempotent();
    if (isOnce && members.getFirst().gangSize() > 1) {
      assertThat(members.stream().map(RunView::state).toList()).doesNotContain(RunState.PENDING);
    }
  }

  private static ClusterState stateWith(Claims claims, Budgets budgets) {
    return new ClusterState(claims, budgets, RunRules::new);
  }

  private static String without(String snapshot, String field) {
    try {
      ObjectMapper mapper = new ObjectMapper();
      ObjectNode tree = (ObjectNode) mapper.readTree(snapshot);
      tree.putArray(field);
      return mapper.writeValueAsString(tree);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static final class UncheckedBudgets extends Budgets {
    @Override
    boolean holdsEnough(int held, LogRecord.BudgetMoved m) {
      return true;
    }
  }

  private static final class RepeatableBudgets extends Budgets {
    @Override
    boolean isNew(LogRecord.BudgetMoved m) {
      return true;
    }
  }

  private static final class UncheckedEpochs extends Claims {
    @Override
    boolean isCurrentEpoch(ShardId shard, long epoch) {
      return true;
    }
  }

  private static final class UnconditionalRestarts extends RunRules {
    UnconditionalRestarts(Workloads workloads) {
      super(workloads);
    }

    @Override
    boolean mayRestart(Workload w, LogRecord.End e) {
      return true;
    }
  }

  private static final class PartialGangStarts extends RunRules {
    PartialGangStarts(Workloads workloads) {
      super(workloads);
    }

    @Override
    boolean namesAllPendingMembers(Workload w, Set<RunId> named) {
      return true;
    }
  }
}
