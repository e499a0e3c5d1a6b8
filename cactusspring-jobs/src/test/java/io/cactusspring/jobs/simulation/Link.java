package io.cactusspring.jobs.simulation;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Calls from a host to one other component, with fault injection: calls and answers can be lost,
 * and calls can be executed late.
 */
public final class Link {
  private static final long LATENCY_MILLIS = 2;
  private static final long MAX_DELAY_MILLIS = 6_000;

  /** How long an answer takes without a fault. */
  static final long USUAL_ANSWER_MILLIS = 2 * LATENCY_MILLIS;

  private final VirtualTime time;
  private final Random random;
  private final Supplier<Consumer<Runnable>> callbackContext;
  private boolean disconnected;
  private double answerLossRate;
  private double delayedCallRate;
  private long extraLatencyMillis;
  private long extraAnswerMillis;
  private int silentConnections;
  private int connectionGeneration;

  /**
   * Creates a link without faults.
   *
   * @param callbackContext supplies, for each call, the context that runs the caller's callbacks
   *     when the call is answered
   */
  public Link(VirtualTime time, Random random, Supplier<Consumer<Runnable>> callbackContext) {
    this.time = time;
    this.random = random;
    this.callbackContext = callbackContext;
  }

  /** Sets whether the link drops new calls and arriving answers. */
  public void disconnected(boolean value) {
    disconnected = value;
  }

  /** Sets the fraction of calls that are executed but whose answer is lost. */
  public void answerLossRate(double rate) {
    answerLossRate = rate;
  }

  /** Sets the fraction of calls that are executed up to 6 s late and whose answer is lost. */
  public void delayedCallRate(double rate) {
    delayedCallRate = rate;
  }

  /** Sets the milliseconds by which new calls arrive later than usual. */
  public void extraLatencyMillis(long millis) {
    extraLatencyMillis = millis;
  }

  /** Sets the milliseconds by which answers to calls that are executed from now on arrive later. */
  public void extraAnswerMillis(long millis) {
    extraAnswerMillis = millis;
  }

  /**
   * Silences all open connections for good: calls in progress get no answer, and neither do the
   * next calls, each of which uses up an idle connection. New connections work.
   *
   * @param idle number of open connections that carry no call
   */
  public void silenceOpenConnections(int idle) {
    silentConnections = idle;
    connectionGeneration++;
  }

  /**
   * Executes a call and returns its answer; see {@link #call}. A call that would be executed late
   * is lost instead.
   */
  public <T> Future<T> callInTime(
      Supplier<Future<T>> work, Supplier<Future<T>> onTimeout, long timeoutMillis) {
    long sentAt = time.now();
    return call(
        () ->
            time.now() > sentAt + LATENCY_MILLIS + extraLatencyMillis
                ? Future.future(promise -> {})
                : work.get(),
        onTimeout,
        timeoutMillis);
  }

  /** Executes a call on a new connection and returns its answer; see {@link #call}. */
  public <T> Future<T> callOnNewConnection(
      Supplier<Future<T>> work, Supplier<Future<T>> onTimeout, long timeoutMillis) {
    return call(false, work, onTimeout, timeoutMillis);
  }

  /**
   * Executes a call, on an idle connection if there is one, and returns its answer.
   *
   * @param work executed by the called component; its future may complete later
   * @param onTimeout supplies the answer if none has arrived within the timeout
   */
  public <T> Future<T> call(
      Supplier<Future<T>> work, Supplier<Future<T>> onTimeout, long timeoutMillis) {
    boolean silent = silentConnections > 0;
    if (silent) {
      silentConnections--;
    }
    return call(silent, work, onTimeout, timeoutMillis);
  }

  private <T> Future<T> call(
      boolean silent, Supplier<Future<T>> work, Supplier<Future<T>> onTimeout, long timeoutMillis) {
    int generation = connectionGeneration;
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
    if (disconnected || silent) {
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
                    value -> deliver(answerLost, generation, () -> promise.tryComplete(value)),
                    problem -> deliver(answerLost, generation, () -> promise.tryFail(problem))));
    return answer.future();
  }

  private void deliver(boolean lost, int generation, Runnable answer) {
    if (!lost) {
      time.after(
          LATENCY_MILLIS + extraAnswerMillis,
          () -> {
            if (!disconnected && generation == connectionGeneration) {
              answer.run();
            }
          });
    }
  }
}
