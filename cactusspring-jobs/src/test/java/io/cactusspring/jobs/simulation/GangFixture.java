package io.cactusspring.jobs.simulation;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.StartRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** A gang of four, each member on an executor of its own, without hosts: the test is the owner. */
final class GangFixture {
  static final int MEMBERS = 4;
  static final long WORK_MILLIS = 1_000;

  /** Longer than the members of a run that is over may go on. */
  static final long BREAK_MILLIS = 2 * GangRuns.MAX_BREAK_MILLIS;

  private static final long TOKEN = 1;
  private static final long LEASE_MILLIS = 6_000;

  final ClusterSimulation simulation;
  final JobSpec job;
  final List<FakeExecutor> executors;

  /** The members that fail at the end of their work. */
  final Set<Integer> failing = new HashSet<>();

  GangFixture(long seed) {
    simulation = new ClusterSimulation(seed);
    simulation.taskWorkMillis(id -> WORK_MILLIS);
    simulation.taskEnd(id -> failing.contains(id.index()) ? EndReason.FAILED : EndReason.DONE);
    executors =
        IntStream.range(0, MEMBERS)
            .mapToObj(i -> simulation.addExecutor("x" + i, new Resources(1_000, 1_000, 0)))
            .toList();
    StepSpec step =
        StepSpec.builder()
            .tasks(MEMBERS)
            .gang(true)
            .checkpoints(true)
            .resources(new Resources(1_000, 100, 0))
            .build();
    job =
        new JobSpec(
            "job",
            ClusterSimulation.queue("quick", 0, null),
            "team",
            "payload",
            List.of(step),
            0,
            0,
            0,
            0);
    simulation.oracle().submitted(job);
  }

  static TaskId member(int index) {
    return new TaskId("job", 0, 0, index);
  }

  CommandResult start(int index, int run, String checkpoint) {
    return executors
        .get(index)
        .start(
            new StartRequest(member(index), run, "payload", leaseEnd(index), TOKEN, checkpoint, ""))
        .result();
  }

  void startAll(int run) {
    IntStream.range(0, MEMBERS).forEach(i -> start(i, run, ""));
  }

  /** Starts a run, all members of which fail at the same moments, and waits for its end. */
  void failRun(int run) {
    failing.addAll(List.of(0, 1, 2, 3));
    startAll(run);
    run(WORK_MILLIS + BREAK_MILLIS);
  }

  void stop(int index, int run) {
    executors.get(index).stop(member(index), run, TOKEN);
  }

  void run(long millis) {
    simulation.time().run(millis);
  }

  private long leaseEnd(int index) {
    return simulation.time().now() - executors.get(index).info().bootMillis() + LEASE_MILLIS;
  }

  /** Returns a report of an executor, once its ends up to a number were read and acknowledged. */
  LeaseRenewalResult.Report report(int index, long acknowledgedEnd) {
    if (acknowledgedEnd > 0) {
      report(index, 0);
    }
    LeaseRenewalRequest request =
        new LeaseRenewalRequest(leaseEnd(index), TOKEN, acknowledgedEnd, 0);
    return (LeaseRenewalResult.Report) executors.get(index).renewLeases(request).result();
  }

  /** Returns how the members have ended whose ends were not acknowledged, by executor. */
  List<EndReason> ends() {
    return IntStream.range(0, MEMBERS)
        .boxed()
        .flatMap(i -> report(i, 0).ended().stream().map(EndedRun::reason))
        .toList();
  }

  /** Returns the checkpoint of the member that runs on an executor. */
  String checkpoint(int index) {
    return report(index, 0).running().get(0).checkpoint();
  }
}
