package io.cactusspring.core.fuzz;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Fake network between hosts, workers and the log, with cut links, lost answers, duplicates and
 * delays.
 */
final class FakeNetwork {
  static final String LOG = "log";
  private static final int FAST_LATENCY_MILLIS = 20;
  private static final int SLOW_LATENCY_MILLIS = 700;
  private static final int MAX_DELAY_MILLIS = 6_000;

  private final EventQueue events;
  private final Random random;
  private final Set<String> cuts = new HashSet<>();
  boolean losesAnswers;
  boolean duplicatesMessages;
  boolean delaysMessages;

  FakeNetwork(EventQueue events, Random random) {
    this.events = events;
    this.random = random;
  }

  void cut(String a, String b) {
    cuts.add(a + " " + b);
    cuts.add(b + " " + a);
  }

  void reconnect(String a, String b) {
    cuts.remove(a + " " + b);
    cuts.remove(b + " " + a);
  }

  boolean isCut(String a, String b) {
    return cuts.contains(a + " " + b);
  }

  /** Delivers a message, possibly late, twice or not at all. */
  void send(String from, String to, Runnable deliver) {
    int times = duplicatesMessages && random.nextInt(3) == 0 ? 2 : 1;
    for (int i = 0; i < times; i++) {
      long latency =
          delaysMessages && random.nextInt(4) == 0 ? random.nextInt(MAX_DELAY_MILLIS) : latency();
      events.schedule(latency, () -> deliverUnlessCut(from, to, deliver));
    }
  }

  /**
   * Delivers a call and its answer. The call is handled before the timeout, counted from the time
   * of its command, or never.
   *
   * @param ageMillis age of the command when the call is sent
   * @param mayRepeat whether the call may be handled twice; a start is sent once over a connection
   *     and never retried
   * @param answer receives the result, or null if no answer arrived before the timeout
   */
  <T> void call(
      String from,
      String to,
      long ageMillis,
      long timeoutMillis,
      boolean mayRepeat,
      Supplier<T> handler,
      Consumer<T> answer) {
    Answer<T> once = new Answer<>(answer);
    int times = mayRepeat && duplicatesMessages && random.nextInt(4) == 0 ? 2 : 1;
    for (int i = 0; i < times; i++) {
      long requestLatency = latency();
      if (ageMillis + requestLatency < timeoutMillis) {
        events.schedule(requestLatency, () -> handle(from, to, handler, once));
      }
    }
    events.schedule(timeoutMillis - Math.min(ageMillis, timeoutMillis), () -> once.deliver(null));
  }

  private <T> void handle(String from, String to, Supplier<T> handler, Answer<T> once) {
    if (isCut(from, to)) {
      return;
    }
    T result = handler.get();
    boolean isLost = losesAnswers && random.nextBoolean();
    if (result != null && !isLost) {
      events.schedule(latency(), () -> deliverUnlessCut(to, from, () -> once.deliver(result)));
    }
  }

  private void deliverUnlessCut(String from, String to, Runnable deliver) {
    if (!isCut(from, to)) {
      deliver.run();
    }
  }

  private long latency() {
    return 1 + random.nextInt(delaysMessages ? SLOW_LATENCY_MILLIS : FAST_LATENCY_MILLIS);
  }

  private static final class Answer<T> {
    private final Consumer<T> consumer;
    private boolean delivered;

    Answer(Consumer<T> consumer) {
      this.consumer = consumer;
    }

    void deliver(T result) {
      if (!delivered) {
        delivered = true;
        consumer.accept(result);
      }
    }
  }
}
