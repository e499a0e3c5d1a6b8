package io.cactusspring.benchmarks.slopes;

import io.cactusspring.benchmarks.request.RequestCell;
import io.cactusspring.benchmarks.request.RequestPolicy;
import io.cactusspring.benchmarks.request.RequestResult;
import io.cactusspring.benchmarks.request.Scenario;
import io.cactusspring.benchmarks.speed.CellSize;
import io.cactusspring.benchmarks.speed.PlacementSpeed;
import java.util.List;
import java.util.stream.DoubleStream;

/** Processor time of a placement and of a routing decision. */
final class SpeedSlopes {
  private static final int RUNS = 3;
  private static final int STEPS = 20_000;
  private static final int REQUESTS = 60_000;
  private static final long SEED = 7;

  private SpeedSlopes() {}

  static List<Slope> measure() {
    return List.of(
        new Slope(
            "placement-time",
            "placement",
            "workers, with 8 tasks each",
            "us for a placement",
            Measure.warmPoints(new double[] {30, 200, 600, 1_500}, n -> placement((int) n))),
        new Slope(
            "request-time",
            "request routing",
            "endpoints of a zone",
            "us for a request's decisions",
            Measure.warmPoints(new double[] {10, 30, 60, 120}, n -> request((int) n))));
  }

  private static double placement(int workers) {
    CellSize size = new CellSize(workers, 41, workers * 8, workers * 2);
    return DoubleStream.generate(
                () -> PlacementSpeed.measure(size, STEPS, SEED).nanosPerPlacement())
            .limit(RUNS)
            .min()
            .orElseThrow()
        / 1_000;
  }

  private static double request(int endpoints) {
    Scenario scenario = new Scenario("slope", endpoints, 0, 20, 0.7, 0);
    return DoubleStream.generate(() -> nanosPerRequest(scenario)).limit(RUNS).min().orElseThrow()
        / 1_000;
  }

  private static double nanosPerRequest(Scenario scenario) {
    RequestResult result = RequestCell.run(scenario, RequestPolicy.CACTUSSPRING, REQUESTS, SEED);
    return result.decisionNanos().getMean() * result.decisionNanos().getTotalCount() / REQUESTS;
  }
}
