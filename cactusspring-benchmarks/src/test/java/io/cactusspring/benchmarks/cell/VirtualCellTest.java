package io.cactusspring.benchmarks.cell;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class VirtualCellTest {
  private static final Demand SMALL = new Demand(0.9, 500, false);
  private static final long SEED = 3;

  @Test
  void sameSeedDrawsTheSameArrivals() {
    assertThat(Arrivals.draw(Site.riga(), SMALL, SEED))
        .isEqualTo(Arrivals.draw(Site.riga(), SMALL, SEED));
  }

  @Test
  void drawnArrivalsDemandTheGivenLoad() {
    Site site = Site.tema();
    var arrivals = Arrivals.draw(site, new Demand(0.9, 20_000, false), SEED);
    double memory =
        arrivals.stream()
            .mapToDouble(
                a ->
                    (double) a.runs().getFirst().spec().resources().memoryMib()
                        * a.runs().size()
                        * a.runMillis())
            .sum();
    double processors =
        arrivals.stream()
            .mapToDouble(
                a ->
                    (double) a.runs().getFirst().spec().resources().milliProcessors()
                        * a.runs().size()
                        * a.runMillis())
            .sum();
    double millis = arrivals.getLast().atMillis();
    double byMemory = memory / millis / site.totalWithoutServices().memoryMib();
    double byProcessors = processors / millis / site.totalWithoutServices().milliProcessors();
    assertThat(Math.max(byMemory, byProcessors)).isWithin(0.05).of(0.9);
  }

  @Test
  void everyPolicyRecordsTheWaitingTimeOfEachMeasuredRun() {
    for (Policy policy : Policy.values()) {
      CellResult result = VirtualCell.run(Site.riga(), policy, SMALL, SEED);
      long byClass =
          result.waitingMillis().entrySet().stream()
              .filter(e -> !e.getKey().equals("(all)"))
              .mapToLong(e -> e.getValue().getTotalCount())
              .sum();
      assertThat(result.waitingMillis().get("(all)").getTotalCount()).isEqualTo(byClass);
      assertThat(byClass).isGreaterThan(0);
    }
  }
}
