package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Plays random histories of a gang against a model: a run has failed once an owner has stored that
 * a member of it ended {@code failed}. Guards against runs that are counted twice, which fails a
 * job with attempts left, and against runs that are never counted, which starts it once too often.
 */
final class GangHistoryFuzzTest {
  private static final int HISTORIES = Integer.getInteger("cactusspring.fuzz", 400);
  private static final long FIRST = Long.getLong("cactusspring.fuzz.first", 1);
  private static final int STEPS = 400;
  private static final int ATTEMPTS = 5;

  /** Which versions own the executors in turn. */
  private enum Versions {
    THIS,
    BOTH
  }

  /** Whether several members of a run may fail. */
  private enum Failing {
    ONE_MEMBER,
    ANY_MEMBERS
  }

  /** What has happened in several histories. */
  private static final class Totals {
    private int failedJobs;
    private int takeoversDuringARun;
    private int runsWithSeveralFailures;
    private final List<Long> countedTwice = new ArrayList<>();

    private void add(long seed, History played) {
      failedJobs += played.isOver() ? 1 : 0;
      takeoversDuringARun += played.takeoversDuringARun;
      runsWithSeveralFailures +=
          (int) played.failedMembers.values().stream().filter(m -> m.size() > 1).count();
      if (played.countedBeyond() > 0) {
        countedTwice.add(seed);
      }
    }
  }

  private static final class History extends GangFixture {
    private final Random random;
    private final Versions versions;
    private final Failing failing;
    private final Set<String> stopsSent = new TreeSet<>();

    /** The ends failed that the present owner has read and not stored. */
    private final Set<EndedRun> read = new HashSet<>();

    /** The members that failed in each run, of the ends that an owner has stored. */
    private final Map<Integer, Set<TaskId>> failedMembers = new HashMap<>();

    /** The runs of which a member has failed, whether an owner has read that or not. */
    private final Set<Integer> failedRuns = new HashSet<>();

    /** The owner, while it is one of the earlier version. */
    private Optional<EarlierGangOwner> earlier = Optional.empty();

    private int crashes;
    private int lastRun;
    private int takeoversDuringARun;

    History(long seed, Versions versions, Failing failing) {
      super(ATTEMPTS);
      random = new Random(seed);
      this.versions = versions;
      this.failing = failing;
    }

    void play() {
      submit();
      for (int i = 0; i < STEPS && !isOver(); i++) {
        step();
      }
      settle();
    }

    /** Returns how many runs have been counted beyond those that failed. */
    private int countedBeyond() {
      return (isOver() ? ATTEMPTS : storedOrNone()) - failedMembers.size();
    }

    private boolean isOver() {
      return stored().isPresent() && stored().get().state().isFinal();
    }

    private int storedOrNone() {
      return stored().isPresent() && !stored().get().steps().isEmpty() ? storedFailures() : 0;
    }

    private void step() {
      switch (random.nextInt(16)) {
        case 0, 1 -> failMember();
        case 2 -> endMember(EndReason.BROKEN);
        case 3 -> carryOutStop();
        case 4 -> nextOwner();
        case 5 -> crashOne();
        case 6, 7, 8 -> storeAll();
        case 9, 10, 11 -> startNext();
        default -> reportOf("x" + random.nextInt(MEMBERS));
      }
    }

    private void failMember() {
      any(busy()).ifPresent(this::failMember);
    }

    private void failMember(String executor) {
      int run = runOn(executor);
      boolean permitted = failing == Failing.ANY_MEMBERS || !failedRuns.contains(run);
      end(executor, permitted ? EndReason.FAILED : EndReason.BROKEN);
      failedRuns.add(run);
    }

    private void endMember(EndReason how) {
      any(busy()).ifPresent(e -> end(e, how));
    }

    private void carryOutStop() {
      any(List.copyOf(stopsSent)).ifPresent(this::carryOutStop);
    }

    private void carryOutStop(String executor) {
      stopsSent.remove(executor);
      end(executor, EndReason.STOPPED);
    }

    private <T> Optional<T> any(List<T> of) {
      return of.isEmpty() ? Optional.empty() : Optional.of(of.get(random.nextInt(of.size())));
    }

    /** Members crash once at most: a job fails for executors that crash, too. */
    private void crashOne() {
      if (crashes == 0 && random.nextInt(4) == 0) {
        crashes++;
        String executor = "x" + random.nextInt(MEMBERS);
        crash(executor);
        stopsSent.remove(executor);
        earlier.ifPresent(e -> e.lost(executor));
      }
    }

    /** The next owner knows what is stored, and ends are listed again. */
    private void nextOwner() {
      takeoversDuringARun += busy().isEmpty() ? 0 : 1;
      read.clear();
      stopsSent.clear();
      if (stored().isPresent() && versions == Versions.BOTH && random.nextBoolean()) {
        earlier = Optional.of(new EarlierGangOwner(beginTerm(), ATTEMPTS, stored().orElseThrow()));
      } else {
        earlier = Optional.empty();
        takeOver();
        // Its first reports.
        for (int i = 0; i < MEMBERS; i++) {
          noticeRead("x" + i);
        }
      }
    }

    private void reportOf(String executor) {
      if (earlier.isPresent()) {
        ends(executor).forEach(e -> earlier.get().ended(executor, e));
        if (!busy().contains(executor)) {
          earlier.get().lost(executor);
        }
        if (earlier.get().isIncomplete()) {
          stopsSent.addAll(busy());
        }
      } else {
        report(executor);
      }
      noticeRead(executor);
    }

    private void noticeRead(String executor) {
      ends(executor).stream().filter(e -> e.reason() == EndReason.FAILED).forEach(read::add);
    }

    private void storeAll() {
      earlier.ifPresentOrElse(e -> store(e.progress()), this::store);
      read.forEach(e -> failedMembers.computeIfAbsent(e.run(), r -> new HashSet<>()).add(e.task()));
      read.clear();
      check();
    }

    private void check() {
      boolean storedByThisVersion =
          earlier.isEmpty() && stored().filter(p -> p.term() == term()).isPresent();
      int counted = isOver() ? ATTEMPTS : storedOrNone();
      assertWithMessage("no failed run is forgotten, of %s", failedMembers)
          .that(counted)
          .isAtLeast(failedMembers.size());
      if (isCountExact()) {
        assertWithMessage("no run is counted twice, of %s", failedMembers)
            .that(counted)
            .isAtMost(failedMembers.size());
      }
      if (storedByThisVersion) {
        assertWithMessage("no more is counted than there were runs")
            .that(counted)
            .isAtMost(lastRun);
      }
      int ends = failedMembers.values().stream().mapToInt(Set::size).sum();
      assertWithMessage("no more is counted than the earlier version does")
          .that(counted)
          .isAtMost(ends);
    }

    private boolean isCountExact() {
      return versions == Versions.THIS || failing == Failing.ONE_MEMBER;
    }

    private void startNext() {
      storeAll();
      if (isOver()) {
        return;
      }
      if (earlier.isEmpty()) {
        decide().ifPresent(run -> assertMayStart(run.number()));
        storeAll();
      } else if (earlier.get().mayStart()) {
        int number = earlier.get().start(this::boot);
        storeAll();
        for (int i = 0; i < MEMBERS; i++) {
          started("x" + i, new RunKey(new TaskId(JOB_ID, 0, 0, i), number));
        }
        assertMayStart(number);
      }
    }

    private void assertMayStart(int run) {
      lastRun = run;
      assertWithMessage("failed runs at the start of run %s", run)
          .that(failedMembers.size())
          .isLessThan(ATTEMPTS);
    }

    @Override
    void stopSent(String executor) {
      stopsSent.add(executor);
    }

    /** Ends the active run and lets an owner of this version read and store all of it. */
    private void settle() {
      busy().forEach(e -> end(e, EndReason.BROKEN));
      if (isOver()) {
        return;
      }
      if (earlier.isPresent()) {
        earlier = Optional.empty();
        read.clear();
        takeOver();
      }
      for (int i = 0; i < MEMBERS; i++) {
        reportOf("x" + i);
      }
      storeAll();
    }
  }

  private static Totals play(Versions versions, Failing failing) {
    return play(versions, failing, FIRST, HISTORIES);
  }

  private static Totals play(Versions versions, Failing failing, long first, int histories) {
    Totals totals = new Totals();
    for (long seed = first; seed < first + histories; seed++) {
      History history = new History(seed, versions, failing);
      try {
        history.play();
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
      totals.add(seed, history);
    }
    return totals;
  }

  @Test
  void countIsExactWhileThisVersionOwnsTheExecutors() {
    assertThat(play(Versions.THIS, Failing.ANY_MEMBERS).countedTwice).isEmpty();
  }

  @Test
  void countIsExactBetweenVersionsIfOneMemberOfEachRunFails() {
    assertThat(play(Versions.BOTH, Failing.ONE_MEMBER).countedTwice).isEmpty();
  }

  /** Some runs are counted twice then, because the earlier version counts members. */
  @Test
  void noFailedRunIsForgottenBetweenVersions() {
    assertThat(play(Versions.BOTH, Failing.ANY_MEMBERS).failedJobs).isGreaterThan(0);
  }

  /** Guards against histories in which nothing happens that could be counted wrongly. */
  @Test
  void historiesHoldTakeoversAndFailuresOfSeveralMembers() {
    for (Versions versions : Versions.values()) {
      Totals totals = play(versions, Failing.ANY_MEMBERS, 1, 100);
      assertThat(totals.failedJobs).isAtLeast(80);
      assertThat(totals.takeoversDuringARun).isAtLeast(300);
      assertThat(totals.runsWithSeveralFailures).isAtLeast(200);
    }
  }
}
