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

/** Holds replay against simple oracles; each guard switched off has to be noticed. */
class ReplayTest {
  private static final String SEED = "20261204";
  private static final int TRIES = 400;

  @Provide
  Arbitrary<List<Step>> sequences() {
    return Step.sequences();
  }

  @Property(tries = TRIES, seed = SEED)
  void stateRestoredFromSnapshotEqualsStateReplayedThrough(
      @ForAll("sequences") List<Step> steps, @ForAll int cut) throws CodecException {
    restoreHalfway(steps, cut, Function.identity());
  }

  @Property(tries = TRIES, seed = SEED)
  void decodedRecordsGiveTheSameState(@ForAll("sequences") List<Step> steps) throws CodecException {
    RecordCodec codec = new RecordCodec();
    ClusterState first = new ClusterState();
    ClusterState second = new ClusterState();
    Step.prologue().forEach(r -> second.apply(second.nextOffset(), r));
    for (LogRecord r : Step.replay(first, steps)) {
      second.apply(second.nextOffset(), codec.decode(codec.encode(r)));
    }
    assertThat(second.snapshot()).isEqualTo(first.snapshot());
  }

  @Property(tries = TRIES, seed = SEED)
  void budgetsSumToTheLimitAndAreNeverNegative(@ForAll("sequences") List<Step> steps) {
    checkBudgets(steps, new ClusterState());
  }

  @Property(tries = TRIES, seed = SEED)
  void recordsOfAReplacedOwnerChangeNothing(@ForAll("sequences") List<Step> steps) {
    checkEpochs(steps, new ClusterState());
  }

  @Property(tries = TRIES, seed = SEED)
  void repeatedRecordsChangeNothing(@ForAll("sequences") List<Step> steps) {
    checkRepeats(steps, new ClusterState());
  }

  @Property(tries = TRIES, seed = SEED)
  void startedRunThatIsNotIdempotentIsNeverPendingAgain(@ForAll("sequences") List<Step> steps) {
    checkNotIdempotent(steps, new ClusterState());
  }

  @Property(tries = TRIES, seed = SEED)
  void gangThatMayNotRunAgainStartsWhole(@ForAll("sequences") List<Step> steps) {
    checkGangs(steps, new ClusterState());
  }

  @Example
  void mutationSnapshotWithoutPartsIsNoticed() {
    for (String field : List.of("claims", "notes", "budgets", "moves", "ended", "closed")) {
      assertNoticed(steps -> restoreHalfway(steps, steps.size(), text -> without(text, field)));
    }
  }

  @Example
  void mutationGiverIsNotAskedIsNoticed() {
    assertNoticed(steps -> checkBudgets(steps, stateWith(new Claims(), new TrustingBudgets())));
  }

  @Example
  void mutationEpochIsNotCheckedIsNoticed() {
    assertNoticed(steps -> checkEpochs(steps, stateWith(new AnyEpoch(), new Budgets())));
  }

  @Example
  void mutationMoveIdsAreForgottenIsNoticed() {
    assertNoticed(steps -> checkRepeats(steps, stateWith(new Claims(), new ForgetfulBudgets())));
  }

  @Example
  void mutationEveryRunMayStartAgainIsNoticed() {
    assertNoticed(
        steps ->
            checkNotIdempotent(
                steps, new ClusterState(new Claims(), new Budgets(), AlwaysAgain::new)));
  }

  @Example
  void mutationGangStartsInPartIsNoticed() {
    assertNoticed(
        steps -> checkGangs(steps, new ClusterState(new Claims(), new Budgets(), HalfGangs::new)));
  }

  private interface Check {
    void on(List<Step> steps) throws CodecException;
  }

  private static void assertNoticed(Check check) {
    List<List<Step>> samples =
        Step.sequences().list().ofSize(TRIES).generator(1000).next(new Random(42)).value();
    assertThrows(
        AssertionError.class,
        () -> {
          for (List<Step> steps : samples) {
            check.on(steps);
          }
        });
  }

  private static void restoreHalfway(List<Step> steps, int cut, Function<String, String> damage)
      throws CodecException {
    int at = Math.floorMod(cut, steps.size() + 1);
    ClusterState whole = new ClusterState();
    Step.replay(whole, steps.subList(0, at));
    ClusterState restored = ClusterState.restore(damage.apply(whole.snapshot()));
    for (Step step : steps.subList(at, steps.size())) {
      LogRecord r = step.record(whole);
      List<StateChange> expected = whole.apply(whole.nextOffset(), r);
      assertThat(restored.apply(restored.nextOffset(), r)).isEqualTo(expected);
    }
    assertThat(restored.snapshot()).isEqualTo(whole.snapshot());
  }

  private static void checkBudgets(List<Step> steps, ClusterState s) {
    Step.replay(s, List.of());
    for (Step step : steps) {
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

  private static void checkEpochs(List<Step> steps, ClusterState s) {
    Step.replay(s, List.of());
    Map<ShardId, Long> epochs = new HashMap<>();
    for (Step step : steps) {
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

  private static void checkRepeats(List<Step> steps, ClusterState s) {
    Step.replay(s, List.of());
    for (Step step : steps) {
      LogRecord r = step.record(s);
      s.apply(s.nextOffset(), r);
      assertThat(s.apply(s.nextOffset(), r)).isEmpty();
    }
  }

  private static void checkNotIdempotent(List<Step> steps, ClusterState s) {
    Step.replay(s, List.of());
    Set<RunId> ran = new HashSet<>();
    for (Step step : steps) {
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
      Step.allRuns(s).stream()
          .filter(v -> ran.contains(v.run()) && !v.spec().idempotent())
          .forEach(v -> assertThat(v.state()).isNotEqualTo(RunState.PENDING));
    }
  }

  private static void checkGangs(List<Step> steps, ClusterState s) {
    Step.replay(s, List.of());
    for (Step step : steps) {
      LogRecord r = step.record(s);
      for (StateChange change : s.apply(s.nextOffset(), r)) {
        if (change instanceof StateChange.RunsStarted started) {
          started.placements().forEach(p -> assertNoneWaits(s, p.task().run()));
        }
      }
    }
  }

  private static void assertNoneWaits(ClusterState s, RunId run) {
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

  private static final class TrustingBudgets extends Budgets {
    @Override
    boolean holdsEnough(int held, LogRecord.BudgetMoved m) {
      return true;
    }
  }

  private static final class ForgetfulBudgets extends Budgets {
    @Override
    boolean isNew(LogRecord.BudgetMoved m) {
      return true;
    }
  }

  private static final class AnyEpoch extends Claims {
    @Override
    boolean isCurrentEpoch(ShardId shard, long epoch) {
      return true;
    }
  }

  private static final class AlwaysAgain extends RunRules {
    AlwaysAgain(Works works) {
      super(works);
    }

    @Override
    boolean mayStartAgain(Workload w, LogRecord.End e) {
      return true;
    }
  }

  private static final class HalfGangs extends RunRules {
    HalfGangs(Works works) {
      super(works);
    }

    @Override
    boolean leavesNoMemberWaiting(Workload w, Set<RunId> named) {
      return true;
    }
  }
}
