package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.LedgerSnapshot;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.port.ExecutorClient.ActiveRun;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import io.cactusspring.jobs.schedule.JobScheduler.Changes;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * An owner with an executor that starts again under its id and keeps its lease as the platform's
 * pages say, and another executor that is added later.
 */
abstract class RebootedExecutorFixture {
  static final String REBOOTED = "x1";
  static final String OTHER = "x2";
  static final long OTHER_BOOT = 500;

  /** The longest lease that an executor accepts. */
  static final long MAX_LEASE_MILLIS = 10_000;

  /** The clock of an executor may be so slow. */
  static final double CLOCK_RATE = 0.98;

  private static final Organisation TEAM =
      new Organisation("team", Set.of(), 1, new Resources(0, 0, 0));
  private static final int ATTEMPTS = 3;

  private final Map<String, JobSpec> jobs = new LinkedHashMap<>();
  private final LedgerSnapshot store = new LedgerSnapshot();
  private final List<String> decisions = new ArrayList<>();
  private final List<ActiveRun> running = new ArrayList<>();
  private final List<EndedRun> ended = new ArrayList<>();
  private Queue queue = queue(ATTEMPTS);
  private JobScheduler owner;
  private long term;
  private long bootedAt;
  private long boot = 77;
  private double leaseEnd;
  private long highestToken;
  private long deletedEnd;
  long now = 100_000;

  private static Queue queue(int maxAttempts) {
    return new Queue("quick", "host", "/q/", "svc", 0, maxAttempts, 1.5, 250, null, false);
  }

  /** Sets how many runs of a task may fail, for owners that begin later. */
  final void maxAttempts(int value) {
    queue = queue(value);
  }

  final JobScheduler owner() {
    return owner;
  }

  final List<String> decisions() {
    return decisions;
  }

  /** Begins the term of an owner that knows what was stored. */
  final void begin(InheritedLeases leases) {
    owner =
        new JobScheduler(
            SchedulerSettings.builder().maxLeaseMillis(MAX_LEASE_MILLIS).build(),
            ++term,
            store.jobs(),
            id -> Optional.of(jobs.get(id)),
            (kind, id, subject, reason) -> decisions.add(kind + " " + subject + " " + reason),
            leases,
            now,
            now);
    owner.configure(new SiteConfiguration(1, List.of(queue), List.of(), List.of(TEAM)));
  }

  /** Begins the first term, in which the executor answers and gets a lease. */
  final void beginWithExecutor() {
    begin(InheritedLeases.until(now));
    announceRebooted();
    renew();
    renew();
  }

  /**
   * Begins the first term with an executor that has been up for so long that an end on its clock
   * lies far ahead on that of a later boot.
   */
  final void beginWithExecutorThatIsUpForLong() {
    beginWithExecutor();
    now += 20_000;
    renew();
  }

  /** Submits a job of one task, which needs a whole executor. */
  final void submit() {
    JobSpec job =
        new JobSpec(
            "j" + (jobs.size() + 1),
            queue,
            "team",
            "p",
            List.of(StepSpec.builder().resources(new Resources(1_000, 100, 0)).build()),
            0,
            0,
            0,
            1);
    jobs.put(job.id(), job);
    store.applyLane(0, LedgerCodec.job(job));
    owner.submitted(JobEntry.submitted(job), now, now);
  }

  /** Stores what has changed, among it the ends that were received. */
  final void store() {
    Changes changes = owner.takeChanges(10, id -> true);
    changes.jobs().forEach((id, p) -> store.applyLane(0, LedgerCodec.progress(id, p)));
    owner.endsStored(changes.ends(), now);
  }

  /** Announces the present boot of the executor. */
  final void announceRebooted() {
    announce(REBOOTED, boot);
  }

  /** Adds the other executor, which has room and answers. */
  final void addOther() {
    announce(OTHER, OTHER_BOOT);
    report(OTHER, OTHER_BOOT);
  }

  /** Renews the lease of an executor without runs, whose clock is that of the owner. */
  final void report(String id, long bootMillis) {
    LeaseRenewalRequest request = owner.leaseRenewalRequest(id, true, now);
    owner.leaseRenewalAnswered(
        id,
        request,
        now,
        new LeaseRenewalResult.Report(now, bootMillis, List.of(), List.of()),
        now);
  }

  final void announce(String id, long bootMillis) {
    owner.executorListed(
        new ExecutorInfo(
            id,
            "place-of-" + id,
            "svc",
            "z",
            false,
            -1,
            new Resources(1_000, 1_000, 0),
            Set.of(),
            bootMillis),
        now);
  }

  /** Starts the executor again: its clock and all else begin anew. */
  final void reboot() {
    boot++;
    bootedAt = now;
    leaseEnd = 0;
    highestToken = 0;
    deletedEnd = 0;
    running.clear();
    ended.clear();
  }

  /** Starts the executor again after its time of day was set back to before the last start. */
  final void rebootAfterTimeWasSetBack() {
    reboot();
    boot -= 2_000;
  }

  /** Returns the executor's clock, which began when the present boot did. */
  final long clock() {
    return Math.round((now - bootedAt) * CLOCK_RATE);
  }

  /** Lets the executor take the end of a lease that a call names. */
  final void take(long leaseEndMillis) {
    leaseEnd = Math.max(leaseEnd, Math.min(leaseEndMillis, clock() + MAX_LEASE_MILLIS));
  }

  /** Lets the executor carry out a start. */
  final void carryOut(StartRequest start) {
    take(start.leaseEndMillis());
    running.add(new ActiveRun(start.task(), start.run(), "", 10, 0));
  }

  /** Lets the run on the executor end, as done. */
  final void endRun() {
    endRun(EndReason.DONE);
  }

  final void endRun(EndReason reason) {
    ActiveRun run = running.removeFirst();
    long number = deletedEnd + ended.size() + 1;
    ended.add(new EndedRun(number, run.task(), run.run(), reason, ""));
  }

  final long boot() {
    return boot;
  }

  final LeaseRenewalResult report() {
    return new LeaseRenewalResult.Report(clock(), boot, List.copyOf(running), List.copyOf(ended));
  }

  /** Lets the executor carry out a lease renewal, and returns its answer. */
  final LeaseRenewalResult carryOut(LeaseRenewalRequest renewal) {
    if (renewal.fencingToken() < highestToken) {
      return new LeaseRenewalResult.Refused(Refusal.FENCED);
    }
    highestToken = renewal.fencingToken();
    take(renewal.leaseEndMillis());
    if (ended.removeIf(e -> e.number() <= renewal.acknowledgedEnd())) {
      deletedEnd = renewal.acknowledgedEnd();
    }
    return report();
  }

  /** Renews the lease of the executor, which answers at once. */
  final void renew() {
    LeaseRenewalRequest request = owner.leaseRenewalRequest(REBOOTED, true, now);
    owner.leaseRenewalAnswered(REBOOTED, request, now, carryOut(request), now);
  }

  /** Lets the next lease renewals of the executor get no answer. */
  final void loseRenewal() {
    LeaseRenewalRequest request = owner.leaseRenewalRequest(REBOOTED, true, now);
    now += 1_600;
    LeaseRenewalResult none = new LeaseRenewalResult.Unknown("no answer");
    owner.leaseRenewalAnswered(REBOOTED, request, now - 1_600, none, now);
  }

  /** Returns the starts that the owner decides now. */
  final List<Action.Start> decide() {
    return owner.decide(millis -> true, now, now).stream()
        .filter(a -> a instanceof Action.Start)
        .map(a -> (Action.Start) a)
        .toList();
  }

  /** Decides the start of the task on the executor, and stores and sends it. */
  final StartRequest sendStart() {
    List<Action.Start> starts = decide();
    assertThat(starts.stream().map(Action.Start::executor).toList()).containsExactly(REBOOTED);
    store();
    return owner.startRequest(REBOOTED, starts.get(0).run(), now).orElseThrow();
  }

  final void answered(StartRequest start, CommandResult result) {
    owner.startAnswered(REBOOTED, new RunKey(start.task(), start.run()), result, now);
  }

  /** Lets the executor answer a stop of a run that it does not have. */
  final void stopAnswered(StartRequest start) {
    RunKey run = new RunKey(start.task(), start.run());
    owner.stopAnswered(REBOOTED, run, new CommandResult.Done(clock()), now);
  }

  /** Starts the task on the executor, which carries it out and answers at once. */
  final void start() {
    StartRequest start = sendStart();
    carryOut(start);
    answered(start, new CommandResult.Done(clock()));
  }

  /** Returns for how many milliseconds the executor holds its lease. */
  final long leaseMillis() {
    return Math.round((leaseEnd - clock()) / CLOCK_RATE);
  }

  /** Returns whether the executor still runs tasks if nothing reaches it any more. */
  final boolean holdsLease() {
    return !running.isEmpty() && clock() <= leaseEnd;
  }

  /** Cuts the executor off, adds the other one, and waits as {@link #waitForStartElsewhere}. */
  final long cutOffAndWaitForStartElsewhere() {
    loseRenewal();
    addOther();
    return waitForStartElsewhere();
  }

  /**
   * Lets time pass until the task starts on the other executor, and checks that its run is over on
   * the first one by then.
   *
   * @return the time that passed
   */
  final long waitForStartElsewhere() {
    long from = now;
    while (decide().stream().noneMatch(a -> a.executor().equals(OTHER))) {
      now += 10;
      assertThat(now - from).isLessThan(60_000);
    }
    assertThat(holdsLease()).isFalse();
    return now - from;
  }
}
