package io.cactusspring.jobs.simulation;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The advice service: handles one call at a time for each calling host, in the order of arrival. A
 * call whose caller has ended is handled like any other.
 */
final class FakeAdviceService {
  /** Waiting calls of all hosts together from which on further calls are refused. */
  private static final int MAX_WAITING = 32;

  private record Call(
      long millis, Supplier<Map<String, String>> decision, Promise<Map<String, String>> answer) {}

  private final VirtualTime time;

  /** The calls of each host, the one in progress first. */
  private final Map<String, Deque<Call>> callsByHost = new HashMap<>();

  private int waiting;

  FakeAdviceService(VirtualTime time) {
    this.time = time;
  }

  /**
   * Adds a call.
   *
   * @param millis how long the service works on it
   * @param decision supplies the answer at the end of that time
   */
  Future<Map<String, String>> call(
      String host, long millis, Supplier<Map<String, String>> decision) {
    Deque<Call> calls = callsByHost.computeIfAbsent(host, h -> new ArrayDeque<>());
    if (!calls.isEmpty() && waiting >= MAX_WAITING) {
      return Future.failedFuture("too many calls");
    }
    Call call = new Call(millis, decision, Promise.promise());
    calls.add(call);
    if (calls.size() == 1) {
      begin(calls);
    } else {
      waiting++;
    }
    return call.answer.future();
  }

  private void begin(Deque<Call> calls) {
    time.after(calls.getFirst().millis, () -> finish(calls));
  }

  private void finish(Deque<Call> calls) {
    Call call = calls.remove();
    call.answer.complete(call.decision.get());
    if (!calls.isEmpty()) {
      waiting--;
      begin(calls);
    }
  }
}
