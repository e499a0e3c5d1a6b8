package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.placement.Decision;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.placement.Placer;
import io.cactusspring.core.placement.ReleaseReason;
import java.util.List;

/** Scheduler that uses the {@link Placer}, with a budget of 1,000,000 for each team. */
final class PlacerScheduler implements Scheduler {
  private static final int MAX_DECISIONS = 100;
  private static final int BUDGET = 1_000_000;

  private final Placer placer;

  PlacerScheduler(Site site) {
    placer = new Placer(site.policy());
    placer.setTeams(site.shares());
    site.workers().forEach(placer::putWorker);
  }

  @Override
  public void enqueue(PendingRun run, long nowMillis) {
    placer.enqueue(run, nowMillis);
  }

  @Override
  public void release(TaskId task, ReleaseReason reason, long nowMillis) {
    placer.release(task, reason, nowMillis);
  }

  @Override
  public List<Decision> decide(long nowMillis) {
    return placer.decide(nowMillis, MAX_DECISIONS, t -> BUDGET);
  }

  @Override
  public int waitingRuns() {
    return placer.waitingRuns();
  }

  @Override
  public int waiting(String team) {
    return placer.waiting(team);
  }
}
