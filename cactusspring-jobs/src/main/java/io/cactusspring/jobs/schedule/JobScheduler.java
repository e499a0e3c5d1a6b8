package io.cactusspring.jobs.schedule;

import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.ledger.JobProgress;
import io.cactusspring.jobs.ledger.StepProgress;
import io.cactusspring.jobs.ledger.TaskProgress;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.Executors.Answer;
import io.cactusspring.jobs.port.Executors.Held;
import io.cactusspring.jobs.port.Executors.HoldOrder;
import io.cactusspring.jobs.port.Executors.StartOrder;
import io.cactusspring.jobs.port.Executors.Target;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The decisions of the one entry host that owns the executors for a term.
 *
 * <p>It is told what was submitted, what executors report and what became of its orders, and
 * answers with {@link Action}s. Times are milliseconds of a steady clock. It is not safe for
 * several threads.
 *
 * <pre>{@code
 * scheduler.submitted(entry, now);
 * List<Action> actions = scheduler.decide(slots, wallMillis, now);
 * Changes changes = scheduler.takeChanges(); // store these, then carry out the starts
 * }</pre>
 *
 * @since 0.2
 */
public final class JobScheduler {
  // Often enough that an end is seen at once; a busy executor answers earlier.
  private static final long HOLD_WAIT_MILLIS = 1_000;
  private static final long HOLD_WAIT_WHILE_STOPPING_MILLIS = 100;
  // Well below the lease, which the holds renew.
  private static final long STORE_WAIT_MILLIS = 500;

  private final OwnerState state;
  private final RunLife runs;
  private final ReportReader reports;
  private final StartAnswers starts;
  private final AdvicePlanner advice;
  private final Placement placement;
  private final RunWatch watch;
  private final Evacuation evacuation;
  private final Throttle throttle;

  /** What has to be stored before the starts that depend on it are sent. */
  public record Changes(Map<String, JobProgress> jobs, List<EndsSeen> ends) {
    public boolean isEmpty() {
      return jobs.isEmpty() && ends.isEmpty();
    }
  }

  /** Ends of an executor's boot up to a number, which it may forget once they are stored. */
  public record EndsSeen(String executor, long bootMillis, long number) {}

  /**
   * Takes over.
   *
   * @param entries what the ledger holds at the offset of the claim
   * @param specs finds the submission of any job, also of one that is over
   * @param wallMillis the time of day, in Unix milliseconds
   */
  public JobScheduler(
      SchedulerSettings settings,
      long term,
      Collection<JobEntry> entries,
      Function<String, Optional<JobSpec>> specs,
      Decisions decisions,
      long wallMillis,
      long now) {
    state = new OwnerState(settings, term, specs, decisions);
    runs = new RunLife(state);
    reports = new ReportReader(state, runs);
    starts = new StartAnswers(state, runs);
    advice = new AdvicePlanner(state);
    placement = new Placement(state, runs, advice);
    watch = new RunWatch(state, runs);
    evacuation = new Evacuation(state, runs);
    throttle = new Throttle(state);
    entries.stream().filter(e -> e.spec().isPresent()).forEach(e -> adopt(e, wallMillis, now));
  }

  public long term() {
    return state.term;
  }

  private void adopt(JobEntry entry, long wallMillis, long now) {
    if (entry.isFinalStateStored()) {
      return;
    }
    LiveJob job = new LiveJob(entry, wallMillis, now);
    state.jobs.put(job.id(), job);
    entry.progress().ifPresent(p -> p.steps().forEach(s -> adoptRuns(job, s, now)));
    job.markReady(now);
    if (entry.cancelled()) {
      cancelled(entry.id(), now);
    }
  }

  private void adoptRuns(LiveJob job, StepProgress stored, long now) {
    List<TaskProgress> tasks = stored.tasks();
    for (int i = 0; i < tasks.size(); i++) {
      TaskProgress p = tasks.get(i);
      if (p.done() || p.executor().isEmpty()) {
        continue;
      }
      LiveTask task = job.task(new TaskId(job.id(), stored.occurrence(), stored.step(), i));
      LiveExecutor executor = state.executor(p.executor());
      executor.knownBoot(p.bootMillis());
      executor.leaseMayLastUntil(now + state.settings.earlierOwnerMillis());
      Run run =
          new Run(
              new RunKey(task.id(), p.run()),
              task.step().spec(),
              job.spec().organisation(),
              Run.Phase.RUNNING,
              now);
      state.addRun(executor, run);
      task.assign(run, executor);
    }
  }

  /** Puts a configuration in force. */
  public void configure(SiteConfiguration configuration) {
    state.configuration = configuration;
  }

  /** Takes note of what an executor announces. */
  public void executorListed(ExecutorInfo info, long now) {
    LiveExecutor executor = state.executor(info.id());
    executor.announced(info, state.settings.drainMillis(), now);
    reports.noteBoot(executor, info.bootMillis(), now);
  }

  /** Takes note that an executor is no longer announced. */
  public void executorUnlisted(String id) {
    LiveExecutor executor = state.executors.get(id);
    if (executor != null) {
      executor.unlisted();
      if (executor.runs().isEmpty()) {
        state.executors.remove(id);
      }
    }
  }

  /** Takes a job that was accepted. */
  public void submitted(JobEntry entry, long wallMillis, long now) {
    if (state.jobs.containsKey(entry.id()) || entry.state().isFinal()) {
      return;
    }
    LiveJob job = new LiveJob(entry, wallMillis, now);
    state.jobs.put(job.id(), job);
    job.markReady(now);
  }

  /** Cancels a job. */
  public void cancelled(String id, long now) {
    LiveJob job = state.jobs.get(id);
    if (job != null) {
      runs.finish(job, JobState.CANCELLED);
      state.decisions.made(Decisions.Kind.JOB_CANCELLED, id, "", "cancelled by its caller");
    }
  }

  /**
   * Decides what to do now.
   *
   * @param wallMillis the time of day, in Unix milliseconds, for scheduled jobs
   */
  public List<Action> decide(AdviceSlots slots, long wallMillis, long now) {
    for (LiveJob job : state.jobs.values()) {
      if (job.spec().repetitions() > 0) {
        job.addDue(wallMillis, now);
        job.markReady(now);
      }
    }
    watch.look(now);
    evacuation.look(now);
    placement.place(slots, now);
    List<Action> decided = new ArrayList<>(state.actions);
    state.actions.clear();
    return decided;
  }

  /** Takes what has to be stored. */
  public Changes takeChanges() {
    Map<String, JobProgress> jobs = new LinkedHashMap<>();
    state.changed.forEach(j -> jobs.put(j.id(), j.progress(state.term)));
    state.changed.clear();
    List<EndsSeen> ends =
        state.executors.values().stream()
            .filter(LiveExecutor::hasEndsToStore)
            .map(e -> new EndsSeen(e.id(), e.bootMillis(), e.endsSeen()))
            .toList();
    return new Changes(jobs, ends);
  }

  /** Takes note that ends are stored, so that executors may forget them. */
  public void stored(List<EndsSeen> ends) {
    for (EndsSeen seen : ends) {
      LiveExecutor executor = state.executors.get(seen.executor());
      if (executor != null) {
        executor.endsStored(seen.number(), seen.bootMillis());
      }
    }
  }

  /** Returns the ids of the executors that have to be asked for a report. */
  public List<String> executorsToHold(long now) {
    return state.executors.values().stream()
        .filter(LiveExecutor::isCallable)
        .filter(e -> needsHold(e) && !waitsForStore(e, now))
        .map(LiveExecutor::id)
        .toList();
  }

  private static boolean needsHold(LiveExecutor executor) {
    return !executor.surveyed()
        || !executor.runs().isEmpty()
        || executor.hasEndsToTell()
        || executor.isSilent();
  }

  /** An executor answers a hold at once as long as it lists ends that it may not forget yet. */
  private static boolean waitsForStore(LiveExecutor executor, long now) {
    return executor.surveyed()
        && executor.hasEndsToStore()
        && now - executor.answeredAt() < STORE_WAIT_MILLIS;
  }

  /** Returns whether a hold on an executor carries anything new to tell at once. */
  public boolean holdIsUrgent(String id) {
    LiveExecutor executor = state.executors.get(id);
    return executor != null && executor.runs().stream().anyMatch(Run::stopping);
  }

  /** Returns where to reach an executor. */
  public Target target(String id) {
    return state.executors.get(id).target();
  }

  /** Builds the next hold for an executor and grants its lease. */
  public HoldOrder holdOrder(String id, boolean renew, long now) {
    LiveExecutor executor = state.executors.get(id);
    // An order to a silent executor may be carried out late and would only prolong the doubt.
    boolean mayRenew = renew && !executor.isSilent();
    long lease = mayRenew ? executor.grantLease(state.settings.leaseMillis(), now) : 0;
    boolean immediate = !executor.surveyed() || executor.isSilent() || executor.runs().isEmpty();
    long wait =
        immediate ? 0 : holdIsUrgent(id) ? HOLD_WAIT_WHILE_STOPPING_MILLIS : HOLD_WAIT_MILLIS;
    return new HoldOrder(lease, state.term, executor.endsToTell(), wait);
  }

  /**
   * Takes the answer to a hold.
   *
   * @param order the hold as it was sent
   * @param sentAt when it was sent
   */
  public void held(String id, HoldOrder order, long sentAt, Held answer, long now) {
    LiveExecutor executor = state.executors.get(id);
    if (executor == null) {
      return;
    }
    switch (answer) {
      case Held.Report report -> {
        reports.read(executor, sentAt, report, now);
        executor.endsTold(order.endsSeen());
        throttle.adjust(executor, now);
      }
      case Held.Refused refused -> silent(executor, refused.why().toString(), now);
      case Held.Unknown unknown -> silent(executor, unknown.problem(), now);
    }
    if (!executor.listed() && executor.runs().isEmpty()) {
      state.executors.remove(id);
    }
  }

  private void silent(LiveExecutor executor, String problem, long now) {
    if (!executor.isSilent()) {
      state.decisions.made(Decisions.Kind.EXECUTOR_SILENT, "", executor.id(), problem);
    }
    executor.silent(now);
  }

  /** Builds the order for a run that was decided, unless it is no longer wanted. */
  public Optional<StartOrder> startOrder(String executorId, RunKey key, long now) {
    LiveExecutor executor = state.executors.get(executorId);
    Run run = executor == null ? null : executor.run(key);
    LiveTask task = state.task(key.task());
    if (run == null || run.stopping() || task == null || task.run() != run) {
      return Optional.empty();
    }
    boolean first = run.phase() == Run.Phase.DECIDED;
    boolean unfit = first && (!executor.isUsable(now) || !executor.hasClock());
    Optional<String> ticket = ticket(task, executor, now);
    if (unfit || ticket.isEmpty()) {
      if (first) {
        runs.lost(executor, run, "executor or ticket not usable any more", now);
      } else {
        run.stop();
      }
      return Optional.empty();
    }
    run.startSent(now);
    return Optional.of(
        new StartOrder(
            key.task(),
            key.number(),
            task.step().job().spec().payload(),
            executor.grantLease(state.settings.leaseMillis(), now),
            state.term,
            task.checkpoint(),
            ticket.get()));
  }

  private Optional<String> ticket(LiveTask task, LiveExecutor executor, long now) {
    boolean needed = state.queue(task.step().job()).needsAdvice();
    return needed ? task.step().tickets().valid(executor, now) : Optional.of("");
  }

  /** Takes the answer to a start. */
  public void startAnswered(String executorId, RunKey key, Answer answer, long now) {
    LiveExecutor executor = state.executors.get(executorId);
    Run run = executor == null ? null : executor.run(key);
    if (run != null) {
      starts.answered(executor, run, answer, now);
    }
  }

  /** Takes the answer to a stop. */
  public void stopAnswered(String executorId, RunKey key, Answer answer, long now) {
    LiveExecutor executor = state.executors.get(executorId);
    Run run = executor == null ? null : executor.run(key);
    if (run != null && answer instanceof Answer.Done) {
      run.stopAnswered(now);
    }
  }

  /** Takes the tickets that an advice call brought. */
  public void advised(
      StepId id, List<String> asked, Map<String, String> tickets, long sentAt, long now) {
    LiveStep step = state.step(id);
    if (step != null) {
      advice.answered(step, asked, tickets, sentAt, now);
    }
  }

  /** Takes note of an advice call that failed. */
  public void adviceFailed(StepId id, String problem, long now) {
    LiveStep step = state.step(id);
    if (step != null) {
      advice.failed(step, problem, now);
    }
  }
}
