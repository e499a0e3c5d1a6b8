package io.cactusspring.soak;

import io.cactusspring.platform.standin.Treatment;
import io.cactusspring.platform.standin.Treatment.Answer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;

/** Decides how a stand-in treats requests while faults are active. */
final class FaultSwitch implements Supplier<Treatment> {
  /**
   * A fault's effect on requests.
   *
   * @param percent share of the requests that it strikes
   */
  record Effect(int percent, int minDelayMillis, int maxDelayMillis, Answer answer) {}

  private final Random random;
  private final Map<Fault, Effect> effects = new LinkedHashMap<>();

  FaultSwitch(long seed) {
    random = new Random(seed);
  }

  void begin(Fault fault, Effect effect) {
    effects.put(fault, effect);
  }

  void end(Fault fault) {
    effects.remove(fault);
  }

  @Override
  public Treatment get() {
    return effects.values().stream()
        .filter(e -> random.nextInt(100) < e.percent())
        .findFirst()
        .map(
            e ->
                new Treatment(
                    e.minDelayMillis()
                        + random.nextInt(e.maxDelayMillis() - e.minDelayMillis() + 1),
                    e.answer()))
        .orElse(Treatment.NORMAL);
  }
}
