package io.cactusspring.daemon.request;

import io.cactusspring.core.request.RequestSpec;
import io.cactusspring.core.request.RouterAction;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

/** Counts retries by reason and measures the time to serve requests. */
final class RequestMetrics {
  private static final Duration[] SERVED_BUCKETS =
      LongStream.of(1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)
          .mapToObj(Duration::ofMillis)
          .toArray(Duration[]::new);

  private final Map<RouterAction.RetryReason, Counter> retries =
      new EnumMap<>(RouterAction.RetryReason.class);
  private final Timer served;

  RequestMetrics(MeterRegistry registry) {
    for (RouterAction.RetryReason r : RouterAction.RetryReason.values()) {
      retries.put(
          r,
          Counter.builder("cactusspring.retries")
              .description("Requests sent again, by reason")
              .tag("reason", r.name().toLowerCase(Locale.ROOT).replace('_', '-'))
              .register(registry));
    }
    served =
        Timer.builder("cactusspring.requests.served")
            .description("Time from arrival to answer of served requests")
            .serviceLevelObjectives(SERVED_BUCKETS)
            .register(registry);
  }

  void countRetry(RouterAction.RetryReason reason) {
    retries.get(reason).increment();
  }

  void recordServed(RequestSpec spec) {
    served.record(System.nanoTime() - spec.arrivalNanos(), TimeUnit.NANOSECONDS);
  }
}
