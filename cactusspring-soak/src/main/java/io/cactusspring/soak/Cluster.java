package io.cactusspring.soak;

import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.TaskId;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.platform.standin.AdviceServer;
import io.cactusspring.platform.standin.ExecutorServer;
import io.cactusspring.platform.standin.SettingsFile;
import io.cactusspring.platform.standin.StoreServer;
import io.cactusspring.platform.standin.Treatment;
import io.cactusspring.soak.Site.ExecutorShape;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Function;

/** The stand-ins and the hosts of a run. */
final class Cluster {
  static final long KEY_REVOKE_MILLIS = 5_000;
  static final long EVACUATE_MILLIS = 5_000;
  private static final int STORE_PARTITIONS = 16;
  private static final int PORTS_PER_HOST = 4;
  private static final long GRACE_SECONDS = 6;

  /** An executor that a task crashed is back after this time. */
  private static final long REPLACEMENT_MILLIS = 3_000;

  private final Vertx vertx;
  private final Recorder recorder;
  private final long seed;
  private final boolean crashLoops;
  private final Random random;
  private final StoreServer store;
  private final FaultSwitch storeFaults;
  private final AdviceServer advice;
  private final List<SoakExecutor> executors = new ArrayList<>();
  private final List<FaultSwitch> executorFaults = new ArrayList<>();
  private final List<String> executorAddresses = new ArrayList<>();
  private final List<LinkProxy> links = new ArrayList<>();
  private final List<HostProcess> hosts = new ArrayList<>();
  private Runnable partialFailure = () -> {};

  /**
   * Creates the stand-ins.
   *
   * @param crashLoops whether some tasks crash the executors on which they start
   */
  Cluster(Vertx vertx, Recorder recorder, long seed, boolean crashLoops) {
    this.vertx = vertx;
    this.recorder = recorder;
    this.seed = seed;
    this.crashLoops = crashLoops;
    random = new Random(seed + 2);
    store = new StoreServer(vertx);
    storeFaults = new FaultSwitch(seed + 1);
    advice = new AdviceServer(vertx, Site.ADVICE, Site::adviceAllows);
  }

  /** Starts the stand-ins, writes the configuration and announces the executors. */
  Future<Void> listen(int hostCount, LoadPlan load, Function<String, Arrival> jobs) {
    List<Future<?>> listening = new ArrayList<>();
    listening.add(advice.listen(() -> Treatment.NORMAL));
    Tasks tasks = new Tasks(load, jobs);
    for (ExecutorShape shape : Site.executors()) {
      SoakExecutor executor =
          new SoakExecutor(shape, Timers.of(vertx), recorder, tasks, tasks.gangs);
      FaultSwitch faults = new FaultSwitch(seed + 100 + executors.size());
      executors.add(executor);
      executorFaults.add(faults);
      executorAddresses.add("");
      int index = executors.size() - 1;
      listening.add(
          ExecutorServer.listen(vertx, faults, executor)
              .onSuccess(address -> executorAddresses.set(index, address)));
    }
    listening.add(store.listen(storeFaults).compose(v -> openLinks(hostCount)));
    return Future.all(listening)
        .onSuccess(
            v -> {
              store.configure(Site.deployment());
              for (int i = 0; i < executors.size(); i++) {
                announce(i, true);
              }
            })
        .mapEmpty();
  }

  private Future<Void> openLinks(int count) {
    List<Future<Void>> listening = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      LinkProxy link = new LinkProxy(vertx, store.address());
      links.add(link);
      listening.add(link.listen());
    }
    return Future.all(listening).mapEmpty();
  }

  /**
   * Starts the hosts, each with its own link to the store.
   *
   * @param roots directories of the programs, which the hosts take in turn
   */
  void startHosts(List<String> command, List<Path> roots, Path folder) throws IOException {
    int firstPort = FreePorts.consecutive(PORTS_PER_HOST * links.size());
    for (int i = 0; i < links.size(); i++) {
      int port = firstPort + PORTS_PER_HOST * i;
      SettingsFile settings =
          new SettingsFile(
              "host" + i,
              port,
              port + 1,
              port + 2,
              links.get(i).address(),
              STORE_PARTITIONS,
              advice.address(),
              KEY_REVOKE_MILLIS,
              GRACE_SECONDS,
              EVACUATE_MILLIS);
      Path root = roots.get(i % roots.size());
      hosts.add(new HostProcess(vertx, recorder, settings, command, root, folder));
    }
    hosts.forEach(HostProcess::start);
  }

  void announce(int executor, boolean present) {
    ExecutorInfo info = executors.get(executor).info(executorAddresses.get(executor));
    store.announce(info, present);
    recorder.record(at -> new Observation.Announced(at, info, present));
  }

  /** Changes the capacity of an executor to a percentage of its full size. */
  void resize(int executor, int percent) {
    executors.get(executor).resize(percent);
    if (executors.get(executor).isUp()) {
      announce(executor, true);
    }
  }

  private void replace(SoakExecutor executor) {
    if (executor.isUp()) {
      return;
    }
    int index = executors.indexOf(executor);
    if (random.nextBoolean()) {
      announce(index, false);
      executor.replace();
    }
    executor.boot();
    announce(index, true);
  }

  /** Sets what is done when a failure is acknowledged and others of its run are to come. */
  void onPartialFailure(Runnable action) {
    partialFailure = action;
  }

  StoreServer store() {
    return store;
  }

  FaultSwitch storeFaults() {
    return storeFaults;
  }

  List<SoakExecutor> executors() {
    return executors;
  }

  FaultSwitch executorFaults(int executor) {
    return executorFaults.get(executor);
  }

  List<LinkProxy> links() {
    return links;
  }

  List<HostProcess> hosts() {
    return hosts;
  }

  private final class Tasks implements SoakExecutor.Work, GangRuns.Plan {
    private final LoadPlan load;
    private final Function<String, Arrival> jobs;
    private final GangRuns gangs = new GangRuns(Timers.of(vertx), this, seed + 5);

    Tasks(LoadPlan load, Function<String, Arrival> jobs) {
      this.load = load;
      this.jobs = jobs;
    }

    @Override
    public StepSpec step(TaskId task) {
      Arrival job = jobs.apply(task.job());
      return job == null ? null : job.steps().get(task.step());
    }

    @Override
    public long millis(TaskId task) {
      return load.taskMillis(task, step(task));
    }

    @Override
    public boolean fails(TaskId task, int run) {
      return load.fails(task, run);
    }

    @Override
    public OptionalLong crashMillis(TaskId task) {
      return crashLoops ? load.crashMillis(task) : OptionalLong.empty();
    }

    @Override
    public boolean crashes(TaskId task) {
      return crashMillis(task).isPresent();
    }

    @Override
    public long millis(StepId gang, StepSpec step) {
      return load.gangMillis(gang, step);
    }

    @Override
    public Optional<GangFailure> failure(StepId gang, StepSpec step, int run) {
      return load.gangFailure(gang, step, run);
    }

    @Override
    public void acknowledged(EndedRun end) {
      if (end.reason() == EndReason.FAILED && gangs.failsFurther(end.task(), end.run())) {
        partialFailure.run();
      }
    }

    @Override
    public void crashed(SoakExecutor executor) {
      long untilCalm = REPLACEMENT_MILLIS + FaultInjector.RECOVERY_MILLIS;
      recorder.record(at -> new Observation.Disturbed(at, at + untilCalm));
      vertx.setTimer(REPLACEMENT_MILLIS, id -> replace(executor));
    }

    @Override
    public boolean permits(String ticket, TaskId task, String executor) {
      Arrival job = jobs.apply(task.job());
      StepId step = task.stepId();
      return job == null || !job.queue().needsAdvice() || advice.permits(ticket, step, executor);
    }
  }
}
