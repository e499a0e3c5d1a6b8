package io.cactusspring.core.fuzz;

import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.model.TaskSpec;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * One action or fault in the cell and the pause that follows it.
 *
 * @param host index of the host concerned
 * @param n index of a worker or team, a number of tasks or a duration, depending on the kind
 * @param pause length of the pause, in units of {@link #PAUSE_UNIT_MILLIS}
 */
record Command(Kind kind, int host, int n, int pause) {
  private static final int MAX_COMMANDS = 40;
  private static final long PAUSE_UNIT_MILLIS = 370;
  private static final long FAULT_UNIT_MILLIS = 1_600;

  /** Kinds of actions and faults. */
  enum Kind {
    WAIT,
    SUBMIT_ONE,
    SUBMIT_ONE_ONCE,
    SUBMIT_BATCH,
    SUBMIT_GANG,
    SUBMIT_GANG_ONCE,
    SUBMIT_FAILING,
    SUBMIT_HUGE,
    CANCEL,
    KILL,
    DRAIN,
    PAUSE,
    PAUSE_WITH_CALLS_IN_FLIGHT,
    CUT_PLATFORM,
    CUT_PEERS,
    CUT_PLATFORM_AND_PEERS,
    /** A host and a worker of its zone are cut off from everything else. */
    PARTITION,
    CUT_WORKER,
    CUT_WORKER_FROM_HOST,
    RESTART_WORKER,
    FAIL_STARTS,
    LOG_REFUSES,
    LOG_IS_SILENT,
    LOG_LOSES_ANSWERS,
    LOG_LANDS_LATE,
    LOSE_ANSWERS,
    REPEAT_MESSAGES,
    SLOW_MESSAGES,
    REPEAT_RECORD,
    NOTE,
    RACING_NOTES,
    REQUESTS,
    MOVE_BUDGET,
    MOVE_WORK,
    MOVE_RUNS,
    HEAL
  }

  static Arbitrary<List<Command>> sequences() {
    Arbitrary<Integer> small = Arbitraries.integers().between(0, 11);
    return Combinators.combine(Arbitraries.of(Kind.class), small, small, small)
        .as(Command::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(MAX_COMMANDS);
  }

  void run(Simulation w, int step) {
    Host h = w.host(host);
    long fault = FAULT_UNIT_MILLIS * (1 + n);
    switch (kind) {
      case WAIT -> w.events().runFor(fault);
      case SUBMIT_ONE -> submit(w, step, false, 1, CellFixture.spec(1_000, 1_500, true));
      case SUBMIT_ONE_ONCE -> submit(w, step, false, 1, CellFixture.spec(1_000, 1_500, false));
      case SUBMIT_BATCH -> submit(w, step, false, 2 + n, CellFixture.spec(900, 700, n % 2 == 0));
      case SUBMIT_GANG -> submit(w, step, true, 2 + n % 3, CellFixture.spec(1_500, 2_500, true));
      case SUBMIT_GANG_ONCE -> submit(w, step, true, 2, CellFixture.spec(1_500, 2_500, false));
      case SUBMIT_FAILING -> submit(w, step, false, 1, failing());
      case SUBMIT_HUGE -> submit(w, step, n % 2 == 0, 2, CellFixture.spec(9_000, 500, true));
      case CANCEL -> w.callers().cancel(h, n);
      case KILL -> w.killAndReplace(h, fault);
      case DRAIN -> drain(w, h, fault);
      case PAUSE -> h.pause(fault);
      case PAUSE_WITH_CALLS_IN_FLIGHT -> h.pauseAfterTickMillis = fault;
      case CUT_PLATFORM -> cut(w, h.name(), List.of(FakeNetwork.LOG), fault);
      case CUT_PEERS -> cut(w, h.name(), CellFixture.hosts(), fault);
      case CUT_PLATFORM_AND_PEERS -> {
        cut(w, h.name(), List.of(FakeNetwork.LOG), fault);
        cut(w, h.name(), CellFixture.hosts(), fault);
      }
      case PARTITION -> partition(w, h, 2 * fault);
      case CUT_WORKER -> cut(w, w.worker(n).info().name(), CellFixture.hosts(), fault);
      case CUT_WORKER_FROM_HOST -> cut(w, w.worker(n).info().name(), List.of(h.name()), fault);
      case RESTART_WORKER -> w.worker(n).restart();
      case FAIL_STARTS -> failStarts(w, fault);
      case LOG_REFUSES -> logMode(w, FakeLog.Mode.REFUSING, fault);
      case LOG_IS_SILENT -> logMode(w, FakeLog.Mode.SILENT, fault);
      case LOG_LOSES_ANSWERS -> logMode(w, FakeLog.Mode.LOSING_ANSWERS, fault);
      case LOG_LANDS_LATE -> logMode(w, FakeLog.Mode.APPENDING_LATE, fault);
      case LOSE_ANSWERS ->
          switchOn(w, () -> w.net().losesAnswers = true, () -> w.net().losesAnswers = false);
      case REPEAT_MESSAGES ->
          switchOn(
              w, () -> w.net().duplicatesMessages = true, () -> w.net().duplicatesMessages = false);
      case SLOW_MESSAGES ->
          switchOn(w, () -> w.net().delaysMessages = true, () -> w.net().delaysMessages = false);
      case REPEAT_RECORD -> repeatRecord(w);
      case NOTE -> w.callers().changeLimit(h, "n" + step, team(), limit());
      case RACING_NOTES -> {
        w.callers().changeLimit(h, "n" + step + "a", team(), limit());
        w.callers().changeLimit(w.host(host + 1 + n % 3), "n" + step + "b", team(), limit() + 1);
      }
      case REQUESTS -> w.limits().startRequests(h, team(), 1 + n, fault);
      case MOVE_BUDGET -> moveBudget(w, h, step);
      case MOVE_RUNS -> h.run(() -> h.moveRuns(1 + n));
      case MOVE_WORK -> h.run(() -> h.moveWaitingRuns(1 + n));
      case HEAL -> w.endFaults();
    }
    w.events().runFor(pause * PAUSE_UNIT_MILLIS);
  }

  private void submit(Simulation w, int step, boolean gang, int tasks, TaskSpec spec) {
    Submission s = new Submission("b" + step, team(), gang, tasks, spec);
    w.callers().submit(w.host(host), s, home());
  }

  private static TaskSpec failing() {
    return TaskSpec.builder(new Resources(500, 128, 0))
        .expectedMillis(400)
        .payload(FakeWorker.FAILING_PAYLOAD)
        .build();
  }

  private String team() {
    return CellFixture.TEAMS.get(n % CellFixture.TEAMS.size());
  }

  private int limit() {
    return 7 + 3 * n;
  }

  private ShardId home() {
    return ShardId.parse(n % 3 == 0 ? "zb/0" : "za/0");
  }

  private BudgetAccount account() {
    return n % 3 == 0
        ? BudgetAccount.ofHost(CellFixture.hosts().get(n % CellFixture.hosts().size()))
        : BudgetAccount.of(home());
  }

  private static void drain(Simulation w, Host h, long millis) {
    h.draining = true;
    w.events().schedule(millis, () -> w.killAndReplace(h, 0));
  }

  private static void cut(Simulation w, String a, List<String> others, long millis) {
    others.forEach(b -> w.net().cut(a, b));
    w.events().schedule(millis, () -> others.forEach(b -> w.net().reconnect(a, b)));
  }

  private void partition(Simulation w, Host h, long millis) {
    cut(w, h.name(), List.of(FakeNetwork.LOG), millis);
    cut(w, h.name(), CellFixture.hosts(), millis);
    String zone = h.name().substring(0, 1);
    String reachable = zone + (n % 2 == 0 ? "w1" : "w2");
    String unreachable = zone + (n % 2 == 0 ? "w2" : "w1");
    List<String> others = CellFixture.hosts().stream().filter(o -> !o.equals(h.name())).toList();
    cut(w, reachable, others, millis);
    cut(w, unreachable, List.of(h.name()), millis);
  }

  private void moveBudget(Simulation w, Host h, int step) {
    if (n % 4 < 2) {
      w.limits().moveBudget(h, team(), account(), "m" + step);
    } else {
      BudgetAccount to =
          BudgetAccount.ofHost(CellFixture.hosts().get(pause % CellFixture.hosts().size()));
      h.run(() -> h.moveShardBudget(team(), to, "m" + step));
    }
  }

  private void failStarts(Simulation w, long millis) {
    FakeWorker worker = w.worker(n);
    worker.failsStarts = true;
    w.events().schedule(millis, () -> worker.failsStarts = false);
  }

  private static void logMode(Simulation w, FakeLog.Mode mode, long millis) {
    w.log().mode(mode);
    w.events().schedule(millis, () -> w.log().mode(FakeLog.Mode.UP));
  }

  private void switchOn(Simulation w, Runnable on, Runnable off) {
    on.run();
    w.events().schedule(FAULT_UNIT_MILLIS * (1 + n), off);
  }

  /** Appends an earlier record again, as a sender does that did not receive the answer. */
  private void repeatRecord(Simulation w) {
    List<LogRecord> all = w.log().all();
    w.log().append(all.get((host * 12 + n) % all.size()));
  }
}
