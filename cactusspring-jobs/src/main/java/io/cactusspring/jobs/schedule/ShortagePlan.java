package io.cactusspring.jobs.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which jobs of a service run after the others, because not all of them can complete by their
 * objectives.
 *
 * <p>The jobs of each priority are taken by their objectives, earliest first. Where the work up to
 * a job exceeds what the capacity completes by its objective, a job is deferred (algorithm of Moore
 * and Hodgson): one of the organisation furthest above its entitlement, and among those the one
 * with the most remaining work. This maximises the number of jobs in time if all organisations are
 * within their entitlement. It would defer the largest jobs only, so of the largest tenth at least
 * half is kept.
 *
 * @param expectedWaitMillis milliseconds until a deferred job would have started, by job id
 */
record ShortagePlan(Map<String, Double> expectedWaitMillis) {
  /** The plan without deferred jobs. */
  static final ShortagePlan NONE = new ShortagePlan(Map.of());

  /** Bursts end after seconds, so a rate of arrivals never takes all of the capacity for long. */
  private static final double MIN_CAPACITY_SHARE = 0.1;

  /** Fraction of the jobs that counts as large. */
  private static final double LARGE_FRACTION = 0.1;

  /** Large jobs must not fall behind the rate of all others by more than a factor of two. */
  private static final double MAX_DEFERRED_LARGE_FRACTION = 0.5;

  /**
   * A job with unfinished work.
   *
   * @param remaining the critical path, and the work of the tasks that do not run yet: when nothing
   *     is free, a job can start once the tasks before it have started
   * @param objectiveInMillis milliseconds until the objective of the job; negative if it has passed
   * @param deferrable whether the job may run after the others; otherwise it only counts as load
   * @param overuse how far its organisation is above its entitlement, in whole doublings
   */
  record Candidate(
      String id,
      boolean surplus,
      int priority,
      RemainingWork remaining,
      double objectiveInMillis,
      boolean deferrable,
      int overuse) {
    private PrecedenceClass precedence() {
      return new PrecedenceClass(surplus, priority);
    }
  }

  /**
   * The capacity of a service.
   *
   * @param amount what is left of its scarce resource beside long-running tasks
   * @param arriving what newly arriving jobs need of it, by their priority
   */
  record Capacity(double amount, Map<Integer, Double> arriving) {
    /** Returns the processors that jobs arriving before a class leave to it. */
    private double leftFor(PrecedenceClass precedence) {
      double before =
          arriving.entrySet().stream()
              .filter(e -> precedence.surplus || e.getKey() < precedence.priority)
              .mapToDouble(Map.Entry::getValue)
              .sum();
      return Math.max(amount - before, MIN_CAPACITY_SHARE * amount);
    }
  }

  /** Jobs that run before all jobs of the next class. */
  private record PrecedenceClass(boolean surplus, int priority) {
    private static final Comparator<PrecedenceClass> ORDER =
        Comparator.comparing(PrecedenceClass::surplus).thenComparingInt(PrecedenceClass::priority);
  }

  ShortagePlan {
    // Map.copyOf probes linearly, which is slow for ids that differ only in a number.
    expectedWaitMillis = Collections.unmodifiableMap(new HashMap<>(expectedWaitMillis));
  }

  /** Returns the plan for the unfinished jobs of a service. */
  static ShortagePlan of(List<Candidate> jobs, Capacity capacity) {
    if (capacity.amount <= 0) {
      return NONE;
    }
    Map<PrecedenceClass, List<Candidate>> classes = new TreeMap<>(PrecedenceClass.ORDER);
    jobs.forEach(j -> classes.computeIfAbsent(j.precedence(), k -> new ArrayList<>()).add(j));
    Map<String, Double> deferred = new HashMap<>();
    double before = 0;
    for (Map.Entry<PrecedenceClass, List<Candidate>> e : classes.entrySet()) {
      ClassPlan plan = new ClassPlan(e.getValue(), capacity.leftFor(e.getKey()), before);
      deferred.putAll(plan.deferred());
      before += e.getValue().stream().mapToDouble(j -> j.remaining.work()).sum();
    }
    return new ShortagePlan(deferred);
  }

  /** Returns whether a job runs after the others of its priority. */
  boolean defers(String job) {
    return expectedWaitMillis.containsKey(job);
  }

  /** Plans the jobs of one class. */
  private static final class ClassPlan {
    private static final Comparator<Candidate> FIRST_TO_DEFER =
        Comparator.comparingInt(Candidate::overuse)
            .thenComparingDouble((Candidate j) -> j.remaining.work())
            .thenComparingDouble(Candidate::objectiveInMillis)
            .reversed()
            .thenComparing(Candidate::id);

    private final List<Candidate> jobs;
    private final double capacity;
    private final Set<String> large = new HashSet<>();
    private final PriorityQueue<Candidate> deferrable = new PriorityQueue<>(FIRST_TO_DEFER);
    private final Map<String, Double> deferred = new HashMap<>();
    private double planned;
    private double deferrableWork;
    private int largeToDefer;

    ClassPlan(List<Candidate> jobs, double capacity, double before) {
      this.jobs = jobs;
      this.capacity = capacity;
      planned = before;
    }

    Map<String, Double> deferred() {
      jobs.stream()
          .sorted(
              Comparator.comparingDouble((Candidate j) -> -j.remaining.work())
                  .thenComparing(Candidate::id))
          .limit((long) Math.ceil(jobs.size() * LARGE_FRACTION))
          .forEach(j -> large.add(j.id));
      largeToDefer = (int) Math.ceil(large.size() * MAX_DEFERRED_LARGE_FRACTION);
      jobs.stream()
          .sorted(
              Comparator.comparingDouble(Candidate::objectiveInMillis).thenComparing(Candidate::id))
          .forEach(this::plan);
      return deferred;
    }

    private void plan(Candidate job) {
      planned += job.remaining.work();
      boolean canBeInTime = completesInTime(job, planned - deferrableWork);
      if (!canBeInTime) {
        // Deferring other jobs would not help.
        if (job.deferrable) {
          defer(job, job);
        }
        return;
      }
      if (job.deferrable) {
        deferrable.add(job);
        deferrableWork += job.remaining.work();
      }
      while (!completesInTime(job, planned) && !deferrable.isEmpty()) {
        Candidate first = deferrable.remove();
        deferrableWork -= first.remaining.work();
        if (!large.contains(first.id) || largeToDefer > 0) {
          defer(first, job);
        }
        if (first.equals(job)) {
          return;
        }
      }
    }

    private void defer(Candidate job, Candidate late) {
      if (large.contains(job.id)) {
        largeToDefer--;
      }
      deferred.put(job.id, waitMillis(late, planned));
      planned -= job.remaining.work();
    }

    private boolean completesInTime(Candidate job, double workUpToJob) {
      double wait = waitMillis(job, workUpToJob);
      double duration =
          Math.max(job.remaining.criticalPathMillis(), job.remaining.work() / capacity);
      return wait + duration <= job.objectiveInMillis;
    }

    private double waitMillis(Candidate job, double workUpToJob) {
      return Math.max(0, workUpToJob - job.remaining.work()) / capacity;
    }
  }
}
