package io.cactusspring.soak;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.soak.Observation.Announced;
import io.cactusspring.soak.Observation.ZoneUse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the executors announced, which of them are up, and which zones are in use. */
final class Executors {
  /** A capacity is in force everywhere within this time after its announcement. */
  static final long CAPACITY_MILLIS = 4_500;

  private record Former(Resources capacity, long until) {}

  private static final class Facts {
    private final List<Former> former = new ArrayList<>();
    private ExecutorInfo info;
    private boolean present = true;
    private boolean up = true;

    Facts(ExecutorInfo info) {
      this.info = info;
    }
  }

  private final Map<String, Facts> executors = new HashMap<>();
  private final Map<String, Long> evacuatedAt = new HashMap<>();

  Executors(List<ExecutorInfo> announced) {
    announced.forEach(e -> executors.put(e.id(), new Facts(e)));
  }

  void announced(Announced announcement) {
    ExecutorInfo info = announcement.executor();
    Facts facts = executors.computeIfAbsent(info.id(), id -> new Facts(info));
    facts.former.add(new Former(facts.info.capacity(), announcement.at()));
    facts.info = info;
    facts.present = announcement.present();
    facts.up = announcement.present();
  }

  void lost(String executor) {
    Facts facts = executors.get(executor);
    if (facts != null) {
      facts.up = false;
    }
  }

  void zoneUse(ZoneUse use) {
    if (use.out()) {
      evacuatedAt.put(use.zone(), use.at());
    } else {
      evacuatedAt.remove(use.zone());
    }
  }

  /** Returns the zone of an executor; empty if it is unknown. */
  String zone(String executor) {
    Facts facts = executors.get(executor);
    return facts == null ? "" : facts.info.zone();
  }

  /** Returns whether a zone is out of use and was taken out of use before a time. */
  boolean isOutOfUse(String zone, long before) {
    Long since = evacuatedAt.get(zone);
    return since != null && since < before;
  }

  /** Returns whether a capacity that an executor announced lately suffices; true if unknown. */
  boolean hasCapacity(String executor, Resources amount, long now) {
    Facts facts = executors.get(executor);
    return facts == null
        || amount.fitsIn(facts.info.capacity())
        || facts.former.stream()
            .filter(f -> f.until() > now - CAPACITY_MILLIS)
            .anyMatch(f -> amount.fitsIn(f.capacity()));
  }

  /** Returns the capacity of all executors that are up, whether they take new tasks or not. */
  Resources capacity() {
    return executors.values().stream()
        .filter(f -> f.up)
        .map(f -> f.info.capacity())
        .reduce(Resources.NONE, Resources::plus);
  }

  /** Returns the executors that take new tasks. */
  Collection<ExecutorInfo> open() {
    List<ExecutorInfo> open = new ArrayList<>();
    for (Facts f : executors.values()) {
      if (f.present && f.up && !f.info.draining() && !evacuatedAt.containsKey(f.info.zone())) {
        open.add(f.info);
      }
    }
    return open;
  }
}
