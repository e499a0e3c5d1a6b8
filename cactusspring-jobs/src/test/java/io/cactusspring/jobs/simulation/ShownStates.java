package io.cactusspring.jobs.simulation;

import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.JobState;
import io.cactusspring.jobs.simulation.ClusterSimulation.Host;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Test oracle: remembers, for each accepted job, the last state that a caller was shown. An
 * accepted job is never unknown, and its state never goes back, whichever host is asked and however
 * often the owner has changed since.
 */
public final class ShownStates {
  /** Time after the acceptance of a job from which each host in touch knows it. */
  private static final long VISIBLE_MILLIS = 2_000;

  private record Accepted(JobSpec spec, long at) {}

  private final ClusterSimulation simulation;

  /** Chooses the hosts that are asked. */
  private final Random random;

  private final Map<String, Accepted> accepted = new LinkedHashMap<>();
  private final Map<String, JobState> shown = new HashMap<>();

  public ShownStates(ClusterSimulation simulation, Random random) {
    this.simulation = simulation;
    this.random = random;
  }

  /** Records that a job was accepted. */
  public void accepted(JobSpec spec) {
    accepted.putIfAbsent(spec.id(), new Accepted(spec, simulation.time().now()));
  }

  /** Asks one host that is up, another one for each job, for the states of all accepted jobs. */
  public void ask() {
    List<Host> up = simulation.hosts().stream().filter(h -> h.entry().isPresent()).toList();
    for (Accepted job : accepted.values()) {
      if (!up.isEmpty() && simulation.time().now() >= job.at + VISIBLE_MILLIS) {
        ask(up.get(random.nextInt(up.size())), job.spec);
      }
    }
  }

  private void ask(Host host, JobSpec job) {
    JobState before = shown.getOrDefault(job.id(), JobState.PENDING);
    simulation.state(host, job).onSuccess(state -> check(host, job, before, state));
  }

  /**
   * Checks an answer.
   *
   * @param before the last state that was shown before the question was asked
   */
  private void check(Host host, JobSpec job, JobState before, Optional<JobState> state) {
    if (state.isEmpty()) {
      violation("lost", "%s, which was %s, is not known at %s", job.id(), before, host.name());
      return;
    }
    JobState now = state.get();
    boolean wentBack = before.isFinal() ? now != before : rank(now) < rank(before);
    if (wentBack) {
      violation("shown", "%s was %s and is %s at %s", job.id(), before, now, host.name());
    }
    if (now == JobState.COMPLETED && !simulation.oracle().isDone(job)) {
      violation("shown", "%s is shown as completed at %s", job.id(), host.name());
    }
    if (rank(now) > rank(shown.getOrDefault(job.id(), JobState.PENDING))) {
      shown.put(job.id(), now);
    }
  }

  private static int rank(JobState state) {
    return state.isFinal() ? 2 : state == JobState.RUNNING ? 1 : 0;
  }

  private void violation(String rule, String format, Object... details) {
    simulation.oracle().recordViolation(rule, format.formatted(details));
  }

  /** Returns how many of the jobs were shown in a final state. */
  public long ended() {
    return shown.values().stream().filter(JobState::isFinal).count();
  }

  /** Returns the number of accepted jobs. */
  public int acceptedJobs() {
    return accepted.size();
  }
}
