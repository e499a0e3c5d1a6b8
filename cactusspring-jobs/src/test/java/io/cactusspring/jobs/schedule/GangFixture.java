package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.LedgerSnapshot;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** An owner with one gang, one member an executor, and what the executors and the store hold. */
abstract class GangFixture {
  static final int MEMBERS = 4;
  static final String JOB_ID = "j1";

  private static final Organisation TEAM =
      new Organisation("team", Set.of(), 1, new Resources(0, 0, 0));

  private final int attempts;
  private final JobSpec job;
  private final LedgerSnapshot store = new LedgerSnapshot();

  /** The runs that executors list, by executor. */
  private final Map<String, ActiveRun> running = new LinkedHashMap<>();

  /** The ends that executors list until they are acknowledged, by executor. */
  private final Map<String, List<EndedRun>> ended = new LinkedHashMap<>();

  private final Map<String, Long> endNumbers = new LinkedHashMap<>();
  private final Map<String, Long> boots = new LinkedHashMap<>();
  private final List<String> decisions = new ArrayList<>();
  private long term;
  private long now = 10_000;
  private JobScheduler owner;

  GangFixture(int attempts) {
    this(attempts, gang().build(), 0);
  }

  /**
   * @param repetitions how many occurrences the job has, one each second from the start; 0 for a
   *     job that is not scheduled
   */
  GangFixture(int attempts, StepSpec step, int repetitions) {
    this.attempts = attempts;
    job =
        new JobSpec(
            JOB_ID, queue(attempts), "team", "p", List.of(step), 10_000, 1_000, repetitions, 1);
  }

  static StepSpec.Builder gang() {
    return StepSpec.builder()
        .tasks(MEMBERS)
        .gang(true)
        .maxPerExecutor(1)
        .resources(new Resources(1_000, 100, 0));
  }

  private static Queue queue(int attempts) {
    return new Queue("plans", "host", "/p/", "svc", 0, attempts, 1.5, 250, null, false);
  }

  final int attempts() {
    return attempts;
  }

  /** Returns the lines on failed runs and on the end of the job, the oldest first. */
  final List<String> decisions() {
    return decisions;
  }

  /** Returns the term of the last owner. */
  final long term() {
    return term;
  }

  /** Begins the term of an owner of another version, which the test plays itself. */
  final long beginTerm() {
    now += 100;
    return ++term;
  }

  /** Replaces the owner, if there is one, by a new one that knows what was stored. */
  final void takeOver() {
    beginTerm();
    owner =
        new JobScheduler(
            SchedulerSettings.builder().build(),
            term,
            store.jobs(),
            id -> Optional.of(job),
            this::decided,
            now,
            now);
    configure(attempts);
    for (int i = 0; i < MEMBERS; i++) {
      Resources capacity = new Resources(1_000, 8_000, 0);
      String id = "x" + i;
      owner.executorListed(
          new ExecutorInfo(id, "place-" + i, "svc", "z", false, -1, capacity, Set.of(), boot(id)),
          now);
      report(id);
    }
  }

  private void decided(DecisionListener.Kind kind, String id, String subject, String reason) {
    switch (kind) {
      case RUN_FAILED, FAILURES_RESTORED, JOB_FAILED ->
          decisions.add(kind + " " + subject + " " + reason);
      default -> {}
    }
  }

  /** Applies a configuration by which the queue has so many attempts. */
  final void configure(int maxAttempts) {
    owner.configure(
        new SiteConfiguration(1, List.of(queue(maxAttempts)), List.of(), List.of(TEAM)));
  }

  final void submit() {
    takeOver();
    store.applyLane(0, LedgerCodec.job(job));
    owner.submitted(store.jobs().iterator().next(), now, now);
  }

  /** Stores what has changed; the ends that the owner has read are acknowledged after that. */
  final void store() {
    changed().ifPresent(this::store);
  }

  /** Returns the ends that the owner lets the executors forget if so many jobs are stored. */
  final List<JobScheduler.ReceivedEnds> endsForgotten(int jobsStored) {
    return owner.takeChanges(jobsStored, id -> true).ends();
  }

  final void store(JobProgress progress) {
    store.applyLane(0, LedgerCodec.progress(JOB_ID, progress));
  }

  private Optional<JobProgress> changed() {
    return Optional.ofNullable(owner.takeChanges(10, id -> true).jobs().get(JOB_ID));
  }

  final Optional<JobProgress> stored() {
    return store.jobs().iterator().next().progress();
  }

  /** Returns the stored progress of the gang's first occurrence that is not done. */
  final StepProgress storedGang() {
    return stored().orElseThrow().steps().stream().filter(s -> !s.done()).findFirst().orElseThrow();
  }

  /** Returns the failures that a host of the earlier version reads in the store. */
  final int storedFailures() {
    return storedGang().tasks().stream().mapToInt(TaskProgress::failures).sum();
  }

  final long boot(String executor) {
    return boots.getOrDefault(executor, 77L);
  }

  /** Lets an executor crash: it forgets its runs and its ends. */
  final void crash(String executor) {
    running.remove(executor);
    ended.remove(executor);
    endNumbers.remove(executor);
    boots.merge(executor, 78L, (before, first) -> before + 1);
  }

  final void report(String executor) {
    report(executor, ends(executor), false);
  }

  /** Lets an executor report that it lists further ends than those of the report. */
  final void reportWithoutEnds(String executor) {
    report(executor, List.of(), true);
  }

  private void report(String executor, List<EndedRun> ends, boolean truncated) {
    LeaseRenewalRequest request = owner.leaseRenewalRequest(executor, true, now);
    List<ActiveRun> runs = Optional.ofNullable(running.get(executor)).stream().toList();
    LeaseRenewalResult result =
        new LeaseRenewalResult.Report(now, boot(executor), runs, ends, truncated);
    owner.leaseRenewalAnswered(executor, request, now, result, ++now);
  }

  final List<EndedRun> ends(String executor) {
    return List.copyOf(ended.getOrDefault(executor, List.of()));
  }

  final void reportAll() {
    IntStream.range(0, MEMBERS).forEach(i -> report("x" + i));
  }

  /** Returns the executors that list a run. */
  final List<String> busy() {
    return List.copyOf(running.keySet());
  }

  /** Returns the number of the run that an executor lists. */
  final int runOn(String executor) {
    return running.get(executor).run();
  }

  final void advance(long millis) {
    now += millis;
  }

  /** Carries out the owner's decisions; returns the run that was started, if one was. */
  final Optional<RunKey> decide() {
    List<RunKey> started = new ArrayList<>();
    for (Action action : owner.decide(millis -> true, now, now)) {
      switch (action) {
        case Action.Start start -> {
          assertThat(owner.startRequest(start.executor(), start.run(), now)).isPresent();
          started(start.executor(), start.run());
          owner.startAnswered(start.executor(), start.run(), new CommandResult.Done(now), now);
          started.add(start.run());
        }
        case Action.Stop stop -> stopSent(stop.executor());
        default -> {}
      }
    }
    now += 100;
    assertThat(started).hasSize(started.isEmpty() ? 0 : MEMBERS);
    return started.stream().findFirst();
  }

  /** Lets an executor carry out a start. */
  final void started(String executor, RunKey run) {
    running.put(executor, new ActiveRun(run.task(), run.number(), "", 100, 0));
  }

  /** Called when an owner has sent a stop to an executor, which carries it out at once. */
  void stopSent(String executor) {
    end(executor, EndReason.STOPPED);
  }

  /** Starts the next run of a gang of any occurrence, and stores that. */
  final Optional<RunKey> startAnyRun() {
    Optional<RunKey> run = Optional.empty();
    for (int round = 0; run.isEmpty() && round < 5; round++) {
      reportAll();
      store();
      run = decide();
    }
    reportAll();
    store();
    return run;
  }

  /** Starts the next run of the gang, and stores that; returns its number, or 0 if none starts. */
  final int startRun() {
    return startAnyRun().map(RunKey::number).orElse(0);
  }

  final void end(String executor, EndReason how) {
    ActiveRun run = running.remove(executor);
    if (run != null) {
      long number = endNumbers.merge(executor, 1L, Long::sum);
      ended
          .computeIfAbsent(executor, e -> new ArrayList<>())
          .add(new EndedRun(number, run.task(), run.run(), how, ""));
    }
  }

  /** Lets the members on some executors fail, each end reported by itself. */
  final void fail(String... executors) {
    List.of(executors).forEach(e -> end(e, EndReason.FAILED));
    List.of(executors).forEach(this::report);
  }

  final JobState state() {
    store();
    return store.jobs().iterator().next().state();
  }
}
