package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.LedgerCodec;
import io.cactusspring.jobs.ledger.LedgerSnapshot;
import io.cactusspring.jobs.ledger.StepProgress;
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
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * One owner at a time, a store, and executors that each have room for one member of a gang. The
 * test decides when executors report, crash or are cut off, and when the owner changes.
 */
final class GangFleet {
  static final int MEMBERS = 4;
  private static final Resources MEMBER = new Resources(1_000, 100, 0);
  private static final Queue QUEUE =
      new Queue("plans", "host", "/p/", "svc", 0, 3, 1.5, 250, null, false);

  private final LedgerSnapshot store = new LedgerSnapshot();
  private final Map<String, JobSpec> jobs = new LinkedHashMap<>();
  private final Map<String, Long> boots = new LinkedHashMap<>();
  private final Set<String> cutOff = new HashSet<>();

  /** The runs that executors list, by executor. */
  private final Map<String, ActiveRun> running = new LinkedHashMap<>();

  /** The ends that executors list until they are acknowledged, by executor. */
  private final Map<String, List<EndedRun>> ended = new LinkedHashMap<>();

  private final Map<String, Long> endNumbers = new LinkedHashMap<>();
  private final List<StartRequest> starts = new ArrayList<>();
  private final List<String> decisions = new ArrayList<>();
  private Resources limit = new Resources(0, 0, 0);
  private long term;
  private long now = 10_000;
  private JobScheduler owner;

  GangFleet(int executors) {
    IntStream.range(0, executors).forEach(i -> boots.put("x" + i, 77L));
  }

  /** Limits what the organisation may run. */
  void limitTo(int members) {
    limit = MEMBER.times(members);
  }

  /** Returns a job of one or several gangs, each of which follows the one before. */
  static JobSpec gangs(String id, int steps) {
    List<StepSpec> specs =
        IntStream.range(0, steps)
            .mapToObj(
                i ->
                    StepSpec.builder()
                        .tasks(MEMBERS)
                        .gang(true)
                        .maxPerExecutor(1)
                        .resources(MEMBER)
                        .after(i == 0 ? List.of() : List.of(i - 1))
                        .build())
            .toList();
    return new JobSpec(id, QUEUE, "team", "p", specs, 0, 0, 0, 1);
  }

  /** Replaces the owner, if there is one, by a new one that knows what was stored. */
  void takeOver() {
    now += 100;
    owner =
        new JobScheduler(
            SchedulerSettings.builder().build(),
            ++term,
            store.jobs(),
            id -> Optional.ofNullable(jobs.get(id)),
            (kind, job, subject, reason) -> decisions.add(kind + " " + subject + " " + reason),
            now,
            now);
    Organisation team = new Organisation("team", Set.of(), 1, limit);
    owner.configure(new SiteConfiguration(1, List.of(QUEUE), List.of(), List.of(team)));
    boots.keySet().forEach(this::announce);
    reportAll();
  }

  private void announce(String id) {
    Resources capacity = new Resources(1_000, 8_000, 0);
    owner.executorListed(
        new ExecutorInfo(id, "at-" + id, "svc", "z", false, -1, capacity, Set.of(), boots.get(id)),
        now);
  }

  void submit(JobSpec job) {
    if (owner == null) {
      takeOver();
    }
    jobs.put(job.id(), job);
    store.applyLane(0, LedgerCodec.job(job));
    owner.submitted(entry(job.id()), now, now);
  }

  JobEntry entry(String job) {
    return store.job(job).orElseThrow();
  }

  /** Returns the stored progress of the first step of a job. */
  StepProgress stored(String job) {
    store();
    return entry(job).progress().map(JobProgress::steps).orElseThrow().get(0);
  }

  /** Replaces the stored progress of the only step of a job. */
  void replaceStored(String job, StepProgress step) {
    JobProgress last = entry(job).progress().orElseThrow();
    JobProgress changed =
        new JobProgress(last.term(), last.version() + 1, last.state(), true, List.of(step), "", "");
    store.applyLane(0, LedgerCodec.progress(job, changed));
  }

  JobScheduler owner() {
    return owner;
  }

  long now() {
    return now;
  }

  void store() {
    owner
        .takeChanges(10, job -> true)
        .jobs()
        .forEach((job, progress) -> store.applyLane(0, LedgerCodec.progress(job, progress)));
  }

  void advance(long millis) {
    now += millis;
  }

  /** Cancels a job and waits until its runs are over on the executors that answer. */
  void cancel(String job) {
    owner.cancelled(job, now);
    run(500);
  }

  void cutOff(String executor) {
    cutOff.add(executor);
  }

  void reconnect(String executor) {
    cutOff.remove(executor);
  }

  /** Starts an executor anew, without what ran on it. */
  void crash(String executor) {
    running.remove(executor);
    ended.remove(executor);
    endNumbers.remove(executor);
    boots.merge(executor, 1L, Long::sum);
  }

  /** Sets the checkpoint that an executor lists for its run. */
  void checkpoint(String executor, String value) {
    running.computeIfPresent(
        executor, (e, r) -> new ActiveRun(r.task(), r.run(), value, r.percent(), 0));
  }

  void end(String executor, EndReason how, String checkpoint) {
    ActiveRun run = running.remove(executor);
    if (run != null) {
      long number = endNumbers.merge(executor, 1L, Long::sum);
      ended
          .computeIfAbsent(executor, e -> new ArrayList<>())
          .add(new EndedRun(number, run.task(), run.run(), how, checkpoint));
    }
  }

  void report(String executor) {
    LeaseRenewalRequest request = owner.leaseRenewalRequest(executor, true, now);
    long sentAt = now++;
    owner.leaseRenewalAnswered(executor, request, sentAt, answer(executor), now);
  }

  private LeaseRenewalResult answer(String executor) {
    if (cutOff.contains(executor)) {
      return new LeaseRenewalResult.Unknown("no answer");
    }
    // Each report shows another percentage, so that no run is taken for stalled.
    running.computeIfPresent(
        executor,
        (e, r) ->
            new ActiveRun(r.task(), r.run(), r.checkpoint(), (r.percent() + 1) % 100, r.usage()));
    List<ActiveRun> runs = Optional.ofNullable(running.get(executor)).stream().toList();
    List<EndedRun> ends = List.copyOf(ended.getOrDefault(executor, List.of()));
    return new LeaseRenewalResult.Report(now, boots.get(executor), runs, ends);
  }

  void reportAll() {
    boots.keySet().forEach(this::report);
  }

  /** Carries out the owner's decisions; returns the runs that were started. */
  List<StartRequest> decide() {
    List<StartRequest> started = new ArrayList<>();
    for (Action action : owner.decide(millis -> true, now, now)) {
      switch (action) {
        case Action.Start start -> start(start).ifPresent(started::add);
        case Action.Stop stop -> stop(stop);
        default -> {}
      }
    }
    starts.addAll(started);
    now += 100;
    return started;
  }

  private Optional<StartRequest> start(Action.Start start) {
    Optional<StartRequest> request = owner.startRequest(start.executor(), start.run(), now);
    boolean answers = !cutOff.contains(start.executor());
    request.filter(r -> answers).ifPresent(r -> carryOut(start.executor(), r));
    CommandResult result =
        answers ? new CommandResult.Done(now) : new CommandResult.Unknown("no answer");
    request.ifPresent(r -> owner.startAnswered(start.executor(), start.run(), result, now));
    return request;
  }

  /** Lets an executor list the run that a start requests. */
  void carryOut(String executor, StartRequest start) {
    running.put(executor, new ActiveRun(start.task(), start.run(), start.checkpoint(), 1, 0));
  }

  private void stop(Action.Stop stop) {
    if (!cutOff.contains(stop.executor())) {
      end(
          stop.executor(),
          EndReason.STOPPED,
          Optional.ofNullable(running.get(stop.executor())).map(ActiveRun::checkpoint).orElse(""));
      owner.stopAnswered(stop.executor(), stop.run(), new CommandResult.Done(now), now);
    }
  }

  /** Lets time pass with reports and decisions, which are stored. */
  void run(long millis) {
    for (long until = now + millis; now < until; ) {
      reportAll();
      store();
      decide();
    }
    store();
  }

  /** Starts the next run of a gang and lets it work for a second; returns its starts. */
  List<StartRequest> startRun() {
    List<StartRequest> started = List.of();
    for (int round = 0; started.isEmpty() && round < 30; round++) {
      reportAll();
      store();
      started = decide();
    }
    run(1_000);
    return started;
  }

  /** Returns the requests to start runs that were sent under all owners. */
  List<StartRequest> starts() {
    return List.copyOf(starts);
  }

  /** Returns the number of the run that an executor lists; 0 if there is none. */
  int runOn(String executor) {
    return Optional.ofNullable(running.get(executor)).map(ActiveRun::run).orElse(0);
  }

  /** Returns an executor on which a member with this index runs. */
  String executorOf(int member) {
    return running.entrySet().stream()
        .filter(e -> e.getValue().task().index() == member)
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow();
  }

  List<String> decisions() {
    return List.copyOf(decisions);
  }
}
