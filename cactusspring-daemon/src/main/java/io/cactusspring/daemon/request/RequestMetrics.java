package io.cactusspring.daemon.request;

import io.cactusspring.core.request.RequestSpec;
import io.cactusspring.core.request.RouterAction;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Counts retries by reason and times answered requests. */
final class RequestMetrics {
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
            .register(registry);
  }

  void countRetry(RouterAction.RetryReason reason) {
    retries.get(reason).increment();
  }

  void recordServed(RequestSpec spec) {
    served.record(System.nanoTime() - spec.offeredNanos(), TimeUnit.NANOSECONDS);
  }
}
