package io.cactusspring.soak;

import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.platform.standin.CallerClient.Verdict;
import io.cactusspring.soak.Observation.Answered;
import io.cactusspring.soak.Observation.Request;
import io.cactusspring.soak.Observation.Surge;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Checks the promises to callers against what callers and executors saw. */
public final class SoakOracle {
  /**
   * Bounds and sizes of the deployment.
   *
   * @param executors the executors announced at first
   * @param adviceAllows decides by an executor's id whether the advice service allows it
   * @param evacuateMillis time after which nothing starts in an evacuated zone
   * @param checkEvacuation whether starts in an evacuated zone are violations
   * @param checkFairness whether a surge may not delay other organisations
   */
  public record Settings(
      List<ExecutorInfo> executors,
      List<Organisation> organisations,
      Predicate<String> adviceAllows,
      long keyRevokeMillis,
      long evacuateMillis,
      boolean checkEvacuation,
      boolean checkFairness) {}

  /** Difference of mean waiting times that a few unequal jobs explain. */
  private static final double FAIRNESS_TOLERANCE_MILLIS = 500;

  private final Settings settings;
  private final Map<String, JobFacts> jobs = new LinkedHashMap<>();
  private final List<Surge> surges = new ArrayList<>();
  private final Disturbances disturbances = new Disturbances();
  private final Findings findings = new Findings(disturbances);
  private final Executors executors;
  private final RunChecks runChecks;
  private final AttemptChecks attemptChecks;
  private final GangChecks gangChecks;
  private final WaitingChecks waitingChecks;
  private final CallerChecks callerChecks;
  private final ConfigurationChecks configurationChecks;

  public SoakOracle(Settings settings) {
    this.settings = settings;
    executors = new Executors(settings.executors());
    runChecks = new RunChecks(settings, jobs, executors, disturbances, findings);
    attemptChecks = new AttemptChecks(jobs, findings);
    gangChecks = new GangChecks(jobs, runChecks, disturbances, findings);
    waitingChecks = new WaitingChecks(settings, jobs, runChecks, executors, disturbances, findings);
    callerChecks = new CallerChecks(settings, jobs, disturbances, findings);
    configurationChecks = new ConfigurationChecks(settings, findings);
  }

  /** Takes the next observation; their times must not decrease. */
  public void observe(Observation observation) {
    findings.advance(observation.at());
    waitingChecks.check(observation.at());
    switch (observation) {
      case Observation.Submitted s ->
          jobs.computeIfAbsent(
                  s.job(), id -> new JobFacts(id, s.organisation(), s.queue(), s.steps(), s.at()))
              .sent();
      case Observation.CancelSent c -> facts(c.job()).forEach(j -> j.cancelSent = true);
      case Answered a -> answered(a);
      case Observation.Started s -> {
        runChecks.started(s);
        attemptChecks.started(s);
        gangChecks.started(s);
      }
      case Observation.Ended e -> {
        runChecks.ended(e);
        attemptChecks.ended(e);
        gangChecks.ended(e);
      }
      case Observation.Acknowledged a -> {
        runChecks.acknowledged(a);
        attemptChecks.acknowledged(a);
      }
      case Observation.UnreadEndDeleted u ->
          findings.add(
              u.at(),
              Rule.UNREAD_END_DELETED,
              "%s run %d on %s".formatted(u.task(), u.run(), u.executor()));
      case Observation.CrashCaused c ->
          facts(c.task().job()).forEach(j -> j.crashingTasks.add(c.task()));
      case Observation.ExecutorLost l -> {
        runChecks.executorLost(l);
        executors.lost(l.executor());
        waitingChecks.executorChanged(l.at());
      }
      case Observation.Announced a -> {
        executors.announced(a);
        waitingChecks.executorChanged(a.at());
      }
      case Observation.LoadEnded e -> waitingChecks.loadEnded(e.at());
      case Observation.Disturbed d -> disturbances.add(d);
      case Observation.KeyWithdrawn k -> callerChecks.keyWithdrawn(k);
      case Observation.Configured c -> {
        configurationChecks.configured(c);
        attemptChecks.configured(c);
      }
      case Observation.Counted c -> configurationChecks.counted(c);
      case Observation.HostStarted s -> configurationChecks.hostStarted(s);
      case Observation.HostImpaired i -> configurationChecks.hostImpaired(i);
      case Observation.ZoneUse z -> executors.zoneUse(z);
      case Surge s -> surges.add(s);
      case Observation.HostHalted h -> callerChecks.hostHalted(h);
      case Observation.PlannedStop s -> callerChecks.plannedStop(s);
      case Observation.HostEnded e -> callerChecks.hostEnded(e);
    }
    waitingChecks.update(observation.at());
  }

  private Collection<JobFacts> facts(String job) {
    JobFacts facts = jobs.get(job);
    return facts == null ? Set.of() : Set.of(facts);
  }

  private void answered(Answered answer) {
    callerChecks.answered(answer);
    for (JobFacts job : facts(answer.job())) {
      if (answer.request() == Request.SUBMISSION) {
        job.answered(answer);
      } else if (answer.request() == Request.CANCELLATION
          && answer.verdict() == Verdict.ACCEPTED
          && job.cancelledAt < 0) {
        job.cancelledAt = answer.at();
        runChecks.cancelled(job, answer.at());
      }
    }
  }

  /** Returns whether all jobs that callers know to be stored have ended. */
  public boolean isDrained() {
    return jobs.values().stream().noneMatch(this::isUnfinished);
  }

  private boolean isUnfinished(JobFacts job) {
    return job.isKnown() && !job.isFinal() || runChecks.isRunning(job.id);
  }

  /** Carries out the checks at the end of a run. */
  public void finish(long now) {
    findings.advance(now);
    waitingChecks.finish(now);
    jobs.values().stream()
        .filter(this::isUnfinished)
        .forEach(
            j ->
                findings.add(
                    now,
                    Rule.JOB_NOT_DRAINED,
                    j.id
                        + " of "
                        + j.organisation
                        + (runChecks.isRunning(j.id) ? " still runs" : " has not ended")));
    if (settings.checkFairness()) {
      surges.forEach(s -> checkFairness(s, now));
    }
  }

  private void checkFairness(Surge surge, long now) {
    Map<String, List<JobFacts>> started =
        jobs.values().stream()
            .filter(j -> j.firstSentAt >= surge.at() && j.firstSentAt <= surge.until())
            .filter(j -> j.firstStartAt >= 0 && !j.wasKeyRefused())
            .collect(Collectors.groupingBy(j -> j.organisation));
    OptionalDouble surging = meanWait(started.getOrDefault(surge.organisation(), List.of()));
    started.forEach(
        (organisation, theirs) -> {
          double wait = meanWait(theirs).orElse(0);
          if (surging.isPresent() && wait > surging.getAsDouble() + FAIRNESS_TOLERANCE_MILLIS) {
            findings.add(
                now,
                Rule.SURGE_DELAYED_OTHERS,
                "%s waited %.0f ms, %s, which surged, %.0f ms"
                    .formatted(organisation, wait, surge.organisation(), surging.getAsDouble()));
          }
        });
  }

  private static OptionalDouble meanWait(List<JobFacts> started) {
    return started.stream().mapToLong(j -> j.firstStartAt - j.firstSentAt).average();
  }

  /** Returns the violations found so far. */
  public List<Violation> violations() {
    return findings.violations();
  }

  /** Returns a line that sums up what was seen. */
  public String summary() {
    List<FailedRuns> gangs = jobs.values().stream().flatMap(JobFacts::failedRunsOfGangs).toList();
    return ("%d jobs, %d accepted, %d final, %d rejected throughout; "
            + "%d gangs started, %d runs of them failed, %d with several members")
        .formatted(
            jobs.size(),
            jobs.values().stream().filter(j -> j.acceptedAt >= 0).count(),
            jobs.values().stream().filter(JobFacts::isFinal).count(),
            jobs.values().stream().filter(JobFacts::certainlyNotStored).count(),
            gangs.size(),
            gangs.stream().mapToInt(FailedRuns::count).sum(),
            gangs.stream().mapToInt(FailedRuns::countOfSeveral).sum());
  }
}
