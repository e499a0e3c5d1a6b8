package io.cactusspring.jobs.simulation;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * One direction of calls from a host, with faults: a call may get lost, its answer may, and it may
 * be carried out late.
 */
public final class Link {
  private static final long LATENCY_MILLIS = 2;
  private static final long MAX_DELAY_MILLIS = 6_000;

  private final VirtualTime time;
  private final Random random;
  private final Supplier<Consumer<Runnable>> callbackContext;
  private boolean disconnected;
  private double answerLossRate;
  private double delayedCallRate;
  private long extraLatencyMillis;

  /**
   * Creates a link.
   *
   * @param callbackContext gives, for each call, what runs the caller's code when the call is
   *     answered
   */
  public Link(VirtualTime time, Random random, Supplier<Consumer<Runnable>> callbackContext) {
    this.time = time;
    this.random = random;
    this.callbackContext = callbackContext;
  }

  public void disconnected(boolean value) {
    disconnected = value;
  }

  public void answerLossRate(double rate) {
    answerLossRate = rate;
  }

  public void delayedCallRate(double rate) {
    delayedCallRate = rate;
  }

  public void extraLatencyMillis(long millis) {
    extraLatencyMillis = millis;
  }

  /**
   * Calls and answers, or answers with what stands for no answer once the time is out.
   *
   * @param work carried out at the other side; its future may complete later
   */
  public <T> Future<T> call(
      Supplier<Future<T>> work, Supplier<Future<T>> onTimeout, long timeoutMillis) {
    Promise<T> answer = Promise.promise();
    Promise<T> promise = Promise.promise();
    Consumer<Runnable> caller = callbackContext.get();
    promise
        .future()
        .onComplete(
            value -> caller.accept(() -> answer.complete(value)),
            problem -> caller.accept(() -> answer.fail(problem)));
    time.after(
        timeoutMillis,
        () -> {
          if (!promise.future().isComplete()) {
            onTimeout.get().onComplete(promise::tryComplete, promise::tryFail);
          }
        });
    if (disconnected) {
      return answer.future();
    }
    if (random.nextDouble() < delayedCallRate) {
      time.after(1 + random.nextLong(MAX_DELAY_MILLIS), () -> work.get().onFailure(problem -> {}));
      return answer.future();
    }
    boolean answerLost = random.nextDouble() < answerLossRate;
    time.after(
        LATENCY_MILLIS + extraLatencyMillis,
        () ->
            work.get()
                .onComplete(
                    value -> deliver(answerLost, () -> promise.tryComplete(value)),
                    problem -> deliver(answerLost, () -> promise.tryFail(problem))));
    return answer.future();
  }

  private void deliver(boolean lost, Runnable answer) {
    if (!lost) {
      time.after(
          LATENCY_MILLIS,
          () -> {
            if (!disconnected) {
              answer.run();
            }
          });
    }
  }
}
