package io.cactusspring.benchmarks.cell;

import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.core.placement.Decision;
import io.cactusspring.core.placement.PendingRun;
import io.cactusspring.core.placement.ReleaseReason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Baseline schedulers: one queue in order of arrival, with each run placed on the first worker
 * where it fits. First come first served stops at the first run that fits nowhere; first fit skips
 * it.
 */
final class QueueScheduler implements Scheduler {
  private final boolean skipsBlocked;
  private final Map<String, Resources> freeByWorker = new LinkedHashMap<>();
  private final Map<TaskId, Decision.Place> running = new HashMap<>();
  private final Map<String, Gang> partialGangs = new HashMap<>();
  private final Map<Size, Integer> waitingBySize = new HashMap<>();
  private final Set<Gang> queue = new LinkedHashSet<>();
  private final Map<String, Integer> waitingByTeam = new HashMap<>();

  /** Runs that start together; a single run is a gang of one. */
  private record Gang(List<PendingRun> members) {
    PendingRun first() {
      return members.getFirst();
    }

    Size size() {
      return new Size(first().spec().resources(), members.size());
    }
  }

  private record Size(Resources resources, int members) {}

  private QueueScheduler(Site site, boolean skipsBlocked) {
    this.skipsBlocked = skipsBlocked;
    for (WorkerInfo worker : site.workers()) {
      freeByWorker.put(worker.name(), worker.total());
    }
  }

  static QueueScheduler firstComeFirstServed(Site site) {
    return new QueueScheduler(site, false);
  }

  static QueueScheduler firstFit(Site site) {
    return new QueueScheduler(site, true);
  }

  @Override
  public void enqueue(PendingRun run, long nowMillis) {
    waitingByTeam.merge(run.team(), 1, Integer::sum);
    if (run.gangSize() == 1) {
      add(new Gang(List.of(run)));
      return;
    }
    String workload = run.run().workload();
    Gang gang = partialGangs.computeIfAbsent(workload, k -> new Gang(new ArrayList<>()));
    gang.members().add(run);
    if (gang.members().size() == run.gangSize()) {
      partialGangs.remove(workload);
      add(gang);
    }
  }

  private void add(Gang gang) {
    queue.add(gang);
    waitingBySize.merge(gang.size(), 1, Integer::sum);
  }

  @Override
  public void release(TaskId task, ReleaseReason reason, long nowMillis) {
    Decision.Place place = running.remove(task);
    Resources size = place.run().spec().resources();
    freeByWorker.computeIfPresent(place.worker(), (k, free) -> free.plus(size));
  }

  @Override
  public List<Decision> decide(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    Set<Size> failed = new HashSet<>();
    Iterator<Gang> gangs = queue.iterator();
    while (gangs.hasNext() && failed.size() < waitingBySize.size()) {
      Gang gang = gangs.next();
      Optional<List<Decision.Place>> placed =
          failed.contains(gang.size()) ? Optional.empty() : place(gang);
      if (placed.isPresent()) {
        gangs.remove();
        waitingBySize.computeIfPresent(gang.size(), (k, n) -> n == 1 ? null : n - 1);
        waitingByTeam.merge(gang.first().team(), -gang.members().size(), Integer::sum);
        decisions.add(new Decision.PlaceGang(placed.get()));
        continue;
      }
      failed.add(gang.size());
      if (!skipsBlocked) {
        break;
      }
    }
    return decisions;
  }

  private Optional<List<Decision.Place>> place(Gang gang) {
    List<Decision.Place> places = new ArrayList<>();
    for (PendingRun run : gang.members()) {
      Optional<String> worker = firstWorkerFor(run.spec().resources());
      if (worker.isEmpty()) {
        places.forEach(p -> release(p.run().task(), ReleaseReason.STOPPED, 0));
        return Optional.empty();
      }
      Decision.Place place = new Decision.Place(run, worker.get());
      Resources size = run.spec().resources();
      freeByWorker.computeIfPresent(worker.get(), (k, free) -> free.minus(size));
      running.put(run.task(), place);
      places.add(place);
    }
    return Optional.of(places);
  }

  private Optional<String> firstWorkerFor(Resources need) {
    return freeByWorker.entrySet().stream()
        .filter(e -> need.fitsIn(e.getValue()))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  @Override
  public int waitingRuns() {
    return waitingByTeam.values().stream().mapToInt(n -> n).sum();
  }

  @Override
  public int waiting(String team) {
    return waitingByTeam.getOrDefault(team, 0);
  }
}
