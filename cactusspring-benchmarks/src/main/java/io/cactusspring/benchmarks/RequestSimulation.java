package io.cactusspring.benchmarks;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.EndpointInfo;
import io.cactusspring.core.request.AttemptOutcome;
import io.cactusspring.core.request.EndpointShare;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;

/** Entry hosts and executors in virtual time, driven by random arrivals. */
final class RequestSimulation {
  static final int ZONES = 3;
  static final int HOSTS = 9;
  static final int EXECUTORS = 30;
  static final int SLOTS = 8;
  private static final int CONNECTIONS = 60;
  private static final int TEAMS = 6;
  private static final double MEAN_SERVICE_NANOS = 10e6;
  private static final long NETWORK_NANOS = 250_000;
  private static final long LOAD_EXCHANGE_NANOS = 200_000_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RequestScenario scenario;
  private final EventQueue events = new EventQueue();
  private final RequestFigures figures = new RequestFigures();
  private final SplittableRandom random;
  private final Map<String, SimulatedExecutor> executors = new TreeMap<>();
  private final List<SimulatedHost> hosts;

  RequestSimulation(RequestScenario scenario) {
    this.scenario = scenario;
    this.random = new SplittableRandom(scenario.seed());
    for (int i = 0; i < EXECUTORS; i++) {
      executors.put("x" + i, new SimulatedExecutor(events, SLOTS));
    }
    hosts = IntStream.range(0, HOSTS).mapToObj(this::openHost).toList();
  }

  RequestFigures run() {
    hosts.forEach(SimulatedHost::start);
    events.schedule(0, this::arrive);
    events.schedule(LOAD_EXCHANGE_NANOS, this::exchangeLoads);
    events.runAll();
    return figures;
  }

  EventQueue events() {
    return events;
  }

  RequestFigures figures() {
    return figures;
  }

  RequestScenario scenario() {
    return scenario;
  }

  SplittableRandom random() {
    return random;
  }

  boolean isOver() {
    return events.now() > scenario.millis() * NANOS_PER_MILLI;
  }

  /**
   * Sends an attempt to an executor; the callback gets its outcome and the start of the execution
   * in nanoseconds of virtual time.
   */
  void execute(String executor, BiConsumer<AttemptOutcome, Long> callback) {
    events.schedule(NETWORK_NANOS, () -> atExecutor(executor, callback));
  }

  private void atExecutor(String executor, BiConsumer<AttemptOutcome, Long> callback) {
    AttemptOutcome refusal =
        executors
            .get(executor)
            .serve(serviceNanos(), started -> reply(outcome(), started, callback));
    if (refusal != null) {
      reply(refusal, 0, callback);
    } else {
      figures.countExecution();
    }
  }

  private void reply(
      AttemptOutcome outcome, long started, BiConsumer<AttemptOutcome, Long> callback) {
    events.schedule(NETWORK_NANOS, () -> callback.accept(outcome, started));
  }

  private void arrive() {
    if (isOver()) {
      return;
    }
    figures.countOffered();
    hosts.get(random.nextInt(HOSTS)).offer("team" + random.nextInt(TEAMS));
    double perNano = scenario.load() * EXECUTORS * SLOTS / MEAN_SERVICE_NANOS;
    events.schedule((long) exponential(1 / perNano), this::arrive);
  }

  private long serviceNanos() {
    double factor = isSecondQuarter() ? scenario.slowFactor() : 1;
    return (long) exponential(MEAN_SERVICE_NANOS * factor);
  }

  private AttemptOutcome outcome() {
    boolean fails = isSecondQuarter() && random.nextDouble() < scenario.failing();
    return fails ? new AttemptOutcome.Failed(false) : new AttemptOutcome.Answered();
  }

  private boolean isSecondQuarter() {
    long quarter = scenario.millis() * NANOS_PER_MILLI / 4;
    return events.now() >= quarter && events.now() < 2 * quarter;
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private void exchangeLoads() {
    hosts.forEach(SimulatedHost::publishLoads);
    hosts.forEach(h -> h.updateRemoteLoads(hosts));
    if (!isOver()) {
      events.schedule(LOAD_EXCHANGE_NANOS, this::exchangeLoads);
    }
  }

  private SimulatedHost openHost(int index) {
    int zone = index % ZONES;
    List<EndpointShare> shares =
        IntStream.range(0, EXECUTORS).mapToObj(i -> share(i, zone)).toList();
    return new SimulatedHost(this, shares, index);
  }

  private static EndpointShare share(int executor, int hostZone) {
    int zone = executor % ZONES;
    AvailabilityZone z = new AvailabilityZone("z" + zone);
    EndpointInfo info =
        new EndpointInfo("x" + executor, z, "ordering", "127.0.0.1:1", SLOTS, CONNECTIONS, false);
    EndpointShare.Distance d =
        zone == hostZone ? EndpointShare.Distance.SAME_ZONE : EndpointShare.Distance.SAME_REGION;
    return EndpointShare.of(info, d, HOSTS / ZONES, HOSTS - HOSTS / ZONES);
  }
}
