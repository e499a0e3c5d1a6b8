package io.cactusspring.soak;

import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.platform.standin.CallerClient;
import io.cactusspring.soak.Fault.Group;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One run of the soak: all stand-ins and callers share one event loop. */
final class SoakRun {
  /**
   * What a run consists of.
   *
   * @param crashLoops whether some tasks crash the executors on which they start
   * @param failurePermille share of the runs that fail
   * @param gangsPerMinute jobs with gangs beside the other jobs
   * @param takeovers whether all hosts are killed between two ends of a gang at times
   * @param restarts whether executors start again under their ids and are cut off soon afterwards
   * @param restartSeries whether hosts and executors start again in series that overlap, while jobs
   *     with many short tasks run
   * @param root directory of the repository
   * @param earlier directory of the repository with an earlier version, which every second host
   *     runs
   * @param folder directory for the plan and the logs
   */
  record Options(
      long seed,
      long durationMillis,
      int hosts,
      Set<Group> faults,
      boolean checkEvacuation,
      boolean checkFairness,
      boolean crashLoops,
      int failurePermille,
      int gangsPerMinute,
      boolean takeovers,
      boolean restarts,
      boolean restartSeries,
      Path root,
      Optional<Path> earlier,
      Path folder) {}

  private static final long READY_MILLIS = 30_000;
  private static final long POLL_MILLIS = 200;

  /** The JVMs that have just started compile their code, and an owner takes over. */
  private static final long SETTLE_MILLIS = 3_000;

  /** Jobs that wait through an overload end within this time after the load. */
  private static final long DRAIN_MILLIS = 60_000;

  /** Observations are later than what they show while the soak itself gets no processor time. */
  private static final long MAX_LAG_MILLIS = 300;

  /** About 90 short tasks end each second. */
  private static final int SHORT_TASK_JOBS_PER_MINUTE = 100;

  private static final long LAG_PROBE_MILLIS = 100;
  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");

  private final Options options;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final SoakOracle oracle;
  private final Recorder recorder;
  private final Cluster cluster;
  private final CallerClient client = new CallerClient(vertx);
  private Callers callers;
  private String outcome = "";

  SoakRun(Options options) throws IOException {
    this.options = options;
    oracle = new SoakOracle(settings(options));
    recorder = new Recorder(oracle, options.folder().resolve("observations.log"));
    cluster = new Cluster(vertx, recorder, options.seed(), options.crashLoops());
  }

  private static SoakOracle.Settings settings(Options options) {
    List<ExecutorInfo> executors =
        Site.executors().stream()
            .map(
                e ->
                    new ExecutorInfo(
                        e.id(), "", Site.SERVICE, e.zone(), false, -1, e.capacity(), Set.of(), 0))
            .toList();
    return new SoakOracle.Settings(
        executors,
        Site.organisations(),
        Site::adviceAllows,
        Cluster.KEY_REVOKE_MILLIS,
        Cluster.EVACUATE_MILLIS,
        options.checkEvacuation(),
        options.checkFairness());
  }

  /** Runs to the end and returns the violations. */
  List<Violation> run() throws Exception {
    Thread killer = new Thread(() -> cluster.hosts().forEach(HostProcess::close));
    Runtime.getRuntime().addShutdownHook(killer);
    Promise<Void> done = Promise.promise();
    // An exception in a stand-in or a check would otherwise only stop a caller.
    vertx.exceptionHandler(done::tryFail);
    vertx.runOnContext(v -> play().onComplete(done::tryComplete, done::tryFail));
    try {
      done.future()
          .toCompletionStage()
          .toCompletableFuture()
          .get(READY_MILLIS + options.durationMillis() + 2 * DRAIN_MILLIS, TimeUnit.MILLISECONDS);
    } finally {
      cluster.hosts().forEach(HostProcess::close);
      vertx.exceptionHandler(ignored -> {});
      var unused = vertx.close().toCompletionStage().toCompletableFuture().get();
      recorder.close();
    }
    return oracle.violations();
  }

  String summary() {
    return oracle.summary() + outcome;
  }

  private Future<Void> play() {
    // The last disturbance has passed when the load ends.
    long faultMillis = options.durationMillis() - FaultInjector.RECOVERY_MILLIS;
    List<Fault> faults =
        new ArrayList<>(
            FaultPlan.draw(options.seed(), faultMillis, options.hosts(), options.faults()));
    if (options.restarts()) {
      faults.addAll(FaultPlan.restarts(faultMillis));
    }
    if (options.restartSeries()) {
      faults.addAll(RestartSeries.draw(options.seed(), faultMillis, options.hosts()));
    }
    LoadPlan load =
        new LoadPlan(
            options.seed(),
            faults,
            options.failurePermille(),
            options.gangsPerMinute(),
            options.restartSeries() ? SHORT_TASK_JOBS_PER_MINUTE : 0);
    List<Arrival> arrivals = load.draw(options.durationMillis());
    return cluster
        .listen(options.hosts(), load, id -> callers.arrival(id).orElse(null))
        .compose(v -> startHosts(faults, arrivals))
        .compose(
            v -> {
              boolean series = options.restartSeries();
              Balancer balancer =
                  new Balancer(vertx, cluster.hosts(), client, options.seed(), series);
              callers = new Callers(vertx, recorder, client, balancer, options.seed() + 3, series);
              return waitUntil(balancer::areAllReady, READY_MILLIS)
                  .compose(
                      ready ->
                          ready
                              ? Future.succeededFuture()
                              : Future.failedFuture("the hosts were not ready in time"));
            })
        .compose(v -> vertx.timer(SETTLE_MILLIS, TimeUnit.MILLISECONDS))
        .compose(v -> load(faults, arrivals))
        .compose(v -> drain());
  }

  private Future<Void> startHosts(List<Fault> faults, List<Arrival> arrivals) {
    try {
      Files.write(
          options.folder().resolve("plan.txt"), faults.stream().map(Fault::toString).toList());
      Files.write(
          options.folder().resolve("arrivals.txt"),
          arrivals.stream().map(Arrival::toString).toList());
      Matcher line =
          RUN_LINE.matcher(Files.readString(options.root().resolve("deploy/system.toml")));
      if (!line.find()) {
        return Future.failedFuture("deploy/system.toml has no run line");
      }
      Path root = options.root();
      cluster.startHosts(
          List.of(line.group(1).split(" ")),
          List.of(root, options.earlier().orElse(root)),
          options.folder());
      return Future.succeededFuture();
    } catch (IOException e) {
      return Future.failedFuture(e);
    }
  }

  private Future<Void> load(List<Fault> faults, List<Arrival> arrivals) {
    recorder.restartClock();
    System.out.println("load: %d jobs, %d faults".formatted(arrivals.size(), faults.size()));
    watchLag(recorder.now());
    callers.schedule(arrivals);
    Operators operators = new Operators(recorder, cluster.store(), callers);
    operators.publish();
    new DirectCallers(vertx, recorder, client, cluster.hosts(), operators, options.seed() + 4)
        .run(options.durationMillis());
    if (options.takeovers()) {
      long until = options.durationMillis() - FaultInjector.RECOVERY_MILLIS;
      cluster.onPartialFailure(new Takeovers(vertx, recorder, cluster, until)::partialFailure);
    }
    new FaultInjector(vertx, recorder, cluster, operators).schedule(faults);
    return vertx.timer(options.durationMillis(), TimeUnit.MILLISECONDS).mapEmpty();
  }

  private void watchLag(long probedAt) {
    vertx.setTimer(
        LAG_PROBE_MILLIS,
        id -> {
          long now = recorder.now();
          if (now - probedAt > LAG_PROBE_MILLIS + MAX_LAG_MILLIS) {
            recorder.record(at -> new Observation.Disturbed(probedAt, at + MAX_LAG_MILLIS));
            recorder.record(
                at ->
                    new Observation.HostImpaired(probedAt, at + MAX_LAG_MILLIS, Optional.empty()));
          }
          watchLag(now);
        });
  }

  private Future<Void> drain() {
    recorder.record(Observation.LoadEnded::new);
    // Checks that waited for a calm period are due by then.
    long atLeast = options.durationMillis() + RunChecks.CANCEL_MILLIS + POLL_MILLIS;
    return waitUntil(() -> recorder.now() > atLeast && oracle.isDrained(), DRAIN_MILLIS)
        .onSuccess(
            drained -> {
              outcome = ", drained %b after %d ms".formatted(drained, recorder.now());
              recorder.finish();
            })
        .mapEmpty();
  }

  private Future<Boolean> waitUntil(BooleanSupplier condition, long millis) {
    if (condition.getAsBoolean() || millis <= 0) {
      return Future.succeededFuture(condition.getAsBoolean());
    }
    return vertx
        .timer(POLL_MILLIS, TimeUnit.MILLISECONDS)
        .compose(t -> waitUntil(condition, millis - POLL_MILLIS));
  }
}
