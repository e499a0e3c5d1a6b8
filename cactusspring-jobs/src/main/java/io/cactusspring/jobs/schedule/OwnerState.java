package io.cactusspring.jobs.schedule;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/** The owner's state of executors and jobs, shared by the parts of the scheduler. */
final class OwnerState {
  final SchedulerSettings settings;
  final long term;
  final Map<String, LiveExecutor> executors = new LinkedHashMap<>();
  final Map<String, LiveJob> jobs = new LinkedHashMap<>();
  final WaitingSteps waitingSteps = new WaitingSteps();
  final Set<LiveJob> changed = new LinkedHashSet<>();

  /** Executors whose runs may need an action; {@link RunMonitor} checks them in each round. */
  final Set<LiveExecutor> attention = new LinkedHashSet<>();

  /** Executors of which a lease renewal may be due. */
  final Set<LiveExecutor> renewable = new LinkedHashSet<>();

  /** Executors with received ends that are not stored yet. */
  final Set<LiveExecutor> withEndsToStore = new LinkedHashSet<>();

  final Set<LiveExecutor> draining = new LinkedHashSet<>();

  /** Executors on which nothing else is started for a moment; see {@link SuspectPlacement}. */
  final Set<LiveExecutor> held = new LinkedHashSet<>();

  final List<Action> actions = new ArrayList<>();
  final DecisionListener decisionListener;
  final OrganisationAccounts accounts = new OrganisationAccounts();
  final FailureRates failureRates = new FailureRates();
  final ArrivingWork arrivingWork = new ArrivingWork();
  private final ScarceResources scarce = new ScarceResources(executors.values(), waitingSteps);
  SiteConfiguration configuration = SiteConfiguration.NONE;
  final LearnedDurations learned;
  Durations durations;
  final ZoneEvacuation zones;
  final CrashAttribution crashes;
  final Reservations reservations = new Reservations(this);
  private final Map<String, Map<Run, LiveExecutor>> runsByJob = new HashMap<>();

  /** Jobs that have ended, some of whose runs may still be active. */
  private final Map<String, LiveJob> endedJobs = new HashMap<>();

  private final Map<String, Resources> capacityByService = new HashMap<>();
  private final Map<String, Resources> largestByService = new HashMap<>();
  private Optional<Resources> totalCapacity = Optional.empty();
  private long version;
  private final Map<String, Resources> usage = new HashMap<>();
  private final Map<String, CallFence> fences = new HashMap<>();
  private final Map<String, ExecutorLease> leases = new HashMap<>();
  private final Function<String, Optional<JobSpec>> specs;

  OwnerState(
      SchedulerSettings settings,
      long term,
      Function<String, Optional<JobSpec>> specs,
      DecisionListener decisionListener) {
    this.settings = settings;
    this.term = term;
    this.specs = specs;
    this.decisionListener = decisionListener;
    learned = new LearnedDurations(settings, decisionListener);
    durations = learned;
    zones = new ZoneEvacuation(settings);
    crashes = new CrashAttribution(this);
  }

  /** Applies a configuration. */
  void configure(SiteConfiguration current) {
    SiteConfiguration previous = configuration;
    configuration = current;
    accounts.configure(current);
    jobs.values().stream()
        .filter(j -> !Objects.equals(queue(j, previous).advice(), queue(j).advice()))
        .flatMap(j -> j.steps().stream())
        .forEach(s -> s.tickets().forgetVerdicts());
    waitingSteps.all().forEach(LiveStep::retry);
  }

  /** Returns whether a part of the policy is in use. */
  boolean uses(Mechanism mechanism) {
    return settings.uses(mechanism);
  }

  /** Returns the resource in which amounts of work and room at a service are compared. */
  ResourceKind scarceResource(String service, long now) {
    return uses(Mechanism.SCARCE_RESOURCE) ? scarce.of(service, now) : ResourceKind.PROCESSORS;
  }

  /** Adds an unfinished job, which was just submitted or is restored at a takeover. */
  void addJob(LiveJob job) {
    jobs.put(job.id(), job);
    Runnable markSurplus = uses(Mechanism.SURPLUS) ? job::markSurplus : () -> {};
    accounts.submitted(job.spec().organisation(), job.submittedAt(), markSurplus);
    if (job.longRunning()) {
      return;
    }
    accounts.unfinishedJobsChanged(job.spec().organisation(), job.spec().queue().service(), 1);
    if (!job.surplus()) {
      arrivingWork.add(job, queue(job), durations);
    }
  }

  /** Adds a job that had ended before this owner took over, once its runs are added. */
  void addEndedJob(LiveJob job) {
    if (hasRuns(job.id())) {
      endedJobs.put(job.id(), job);
    }
  }

  /** Removes a job that has ended; its runs are counted until they are certainly over. */
  void removeJob(LiveJob job) {
    addEndedJob(job);
    if (jobs.remove(job.id()) != null && !job.longRunning()) {
      accounts.unfinishedJobsChanged(job.spec().organisation(), job.spec().queue().service(), -1);
    }
  }

  LiveExecutor executor(String id) {
    return executors.computeIfAbsent(id, i -> new LiveExecutor(i, zones, lease(i), fence(i)));
  }

  /** Returns the lease of an executor, which a late call may extend while it is not announced. */
  ExecutorLease lease(String executor) {
    return leases.computeIfAbsent(executor, e -> new ExecutorLease(settings));
  }

  /** Returns the fence of an executor, which holds for the whole term. */
  CallFence fence(String executor) {
    return fences.computeIfAbsent(executor, e -> new CallFence(term));
  }

  /** Returns a task of an unfinished job, or null if there is none with this id. */
  LiveTask task(TaskId id) {
    LiveJob job = jobs.get(id.job());
    return job == null ? null : job.task(id);
  }

  /** Returns a step of an unfinished job, or null if there is none with this id. */
  LiveStep step(StepId id) {
    LiveTask first = task(new TaskId(id.job(), id.occurrence(), id.step(), 0));
    return first == null ? null : first.step();
  }

  /** Returns the submission of a job, which may be finished. */
  Optional<JobSpec> spec(String job) {
    return specs.apply(job);
  }

  /**
   * Returns the queue of a job as configured now or, if it was removed, as it was when the job was
   * accepted.
   */
  Queue queue(LiveJob job) {
    return queue(job, configuration);
  }

  private static Queue queue(LiveJob job, SiteConfiguration configuration) {
    Queue accepted = job.spec().queue();
    return configuration.queue(accepted.name()).orElse(accepted);
  }

  /**
   * Records that an executor did not answer. Each new reason is logged with the runs that are at
   * stake, because their ages tell whether one of them may have ended the executor.
   */
  void markSilent(LiveExecutor executor, String reason, long now) {
    executor.markSilent(now);
    if (executor.addSilenceReason(reason)) {
      decisionListener.decisionMade(
          DecisionListener.Kind.EXECUTOR_SILENT,
          "",
          executor.id(),
          reason + "; " + executor.describeRuns(now));
    }
  }

  /** Requests a check of an executor that has changed. */
  void touch(LiveExecutor executor) {
    attention.add(executor);
    renewable.add(executor);
  }

  /** Records that an executor may have more room than before, or takes tasks again. */
  void gainedCapacity(LiveExecutor executor) {
    executor.gainedAtVersion(++version);
  }

  /** Returns a number that increases with each gain of capacity. */
  long version() {
    return version;
  }

  /** Records that the set of executors or their announced capacity has changed. */
  void executorsChanged() {
    totalCapacity = Optional.empty();
    capacityByService.clear();
    largestByService.clear();
  }

  /** Returns the capacity of all announced executors. */
  Resources totalCapacity() {
    if (totalCapacity.isEmpty()) {
      totalCapacity =
          Optional.of(
              executors.values().stream()
                  .filter(e -> e.isCallable() && e.listed())
                  .map(e -> e.info().capacity())
                  .reduce(Resources.NONE, Resources::plus));
    }
    return totalCapacity.get();
  }

  /** Returns the capacity of the announced executors of a service. */
  Resources capacity(String service) {
    return capacityByService.computeIfAbsent(
        service, s -> capacities(s).reduce(Resources.NONE, Resources::plus));
  }

  /** Returns the most that any announced executor of a service offers of each resource. */
  Resources largestExecutor(String service) {
    return largestByService.computeIfAbsent(
        service, s -> capacities(s).reduce(Resources.NONE, OwnerState::largerOf));
  }

  private Stream<Resources> capacities(String service) {
    return executors.values().stream()
        .filter(e -> e.isCallable() && e.listed() && e.info().service().equals(service))
        .map(e -> e.info().capacity());
  }

  private static Resources largerOf(Resources a, Resources b) {
    return new Resources(
        Math.max(a.milliProcessors(), b.milliProcessors()),
        Math.max(a.memoryMib(), b.memoryMib()),
        Math.max(a.accelerators(), b.accelerators()));
  }

  void removeExecutor(LiveExecutor executor) {
    executors.remove(executor.id());
    if (executor.renewalInFlight()) {
      // It must have no effect beside calls that are sent once the executor is announced again.
      executor.fence().raise();
    }
    attention.remove(executor);
    renewable.remove(executor);
    withEndsToStore.remove(executor);
    draining.remove(executor);
    held.remove(executor);
    learned.executorRemoved(executor);
    failureRates.executorRemoved(executor);
    executorsChanged();
  }

  void addRun(LiveExecutor executor, Run run, long now) {
    touch(executor);
    executor.add(run);
    runsByJob
        .computeIfAbsent(run.key().task().job(), job -> new LinkedHashMap<>())
        .put(run, executor);
    usage.merge(run.organisation(), run.spec().resources(), Resources::plus);
    account(run, 1, now);
  }

  void removeRun(LiveExecutor executor, Run run, long now) {
    touch(executor);
    if (executor.remove(run.key())) {
      gainedCapacity(executor);
      removeRunOfJob(run);
      usage.merge(run.organisation(), run.spec().resources(), Resources::minus);
      account(run, -1, now);
    }
  }

  private void removeRunOfJob(Run run) {
    String job = run.key().task().job();
    Map<Run, LiveExecutor> left = runsByJob.getOrDefault(job, Map.of());
    if (left.remove(run) != null && left.isEmpty()) {
      runsByJob.remove(job);
      // The stored progress still lists the run.
      Optional.ofNullable(endedJobs.remove(job)).ifPresent(changed::add);
    }
  }

  private void account(Run run, int runs, long now) {
    if (!run.spec().longRunning()) {
      accounts.runsChanged(run.organisation(), run.service(), run.committed(), runs, now);
    }
  }

  /** Returns whether any run of a job is counted on an executor. */
  boolean hasRuns(String job) {
    return runsByJob.containsKey(job);
  }

  /** Returns the number of runs of a job that are counted on executors. */
  int runsOf(String job) {
    return runsByJob.getOrDefault(job, Map.of()).size();
  }

  /** Returns the runs of a job that may be active although no task of it waits for their end. */
  List<UnassignedRun> unassignedRuns(LiveJob job) {
    return runsByJob.getOrDefault(job.id(), Map.of()).entrySet().stream()
        .filter(e -> e.getKey().mayHaveRun() && !job.waitsFor(e.getKey()))
        .map(e -> new UnassignedRun(e.getKey().key(), e.getValue().id(), e.getKey().bootMillis()))
        .toList();
  }

  /** Returns whether more tasks of a step stay within the limit of their organisation. */
  boolean withinLimit(LiveStep step, int tasks) {
    String organisation = step.job().spec().organisation();
    Resources after = usage(organisation).plus(step.spec().resources().times(tasks));
    return configuration.organisation(organisation).map(o -> o.allows(after)).orElse(true);
  }

  Resources usage(String organisation) {
    return usage.getOrDefault(organisation, Resources.NONE);
  }
}
