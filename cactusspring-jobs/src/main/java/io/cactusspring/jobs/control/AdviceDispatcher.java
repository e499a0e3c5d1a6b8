package io.cactusspring.jobs.control;

import io.cactusspring.jobs.port.AdviceService;
import io.cactusspring.jobs.port.Timers;
import io.cactusspring.jobs.schedule.Action;
import io.cactusspring.jobs.schedule.AdviceSlots;
import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Distributes calls to the advice service over the entry hosts, because the service accepts one
 * call at a time from each. The owner and some other hosts get no long calls, so that they are free
 * for the short calls of quick tasks.
 *
 * <p>A long call needs an idle caller. If none is idle when one is due, a caller is held: it gets
 * no more short calls until it has begun the long one. As many callers are held as may make long
 * calls at a time. While there are too few hosts to keep one of them free of long calls, only one
 * is held at a time, and not again for as long as its long call took.
 */
final class AdviceDispatcher implements AdviceSlots {
  /** Highest number of short calls that are queued or in progress on one caller. */
  private static final int MAX_SHORT_CALLS_PER_CALLER = 4;

  /**
   * Number of hosts besides the owner that get no long calls. Together with the owner they make
   * about 100 short calls a second.
   */
  private static final int SHORT_ONLY_HOSTS = 2;

  /**
   * At most one in this many hosts is kept free of long calls, so that long calls do not starve
   * while few hosts are available.
   */
  private static final int SHORT_ONLY_DIVISOR = 3;

  /** Additional duration of a call through another host. */
  private static final double PEER_CALL_OVERHEAD_MILLIS = 3;

  /**
   * Time without a request for a long call after which a held caller is free again; longer than
   * between two rounds under overload.
   */
  private static final long HOLD_MILLIS = 1_000;

  private static final long TIMEOUT_MARGIN_MILLIS = 1_500;
  private static final long INITIAL_BACKOFF_MILLIS = 1_000;
  // Work that waits for advice must not wait longer than this for hosts that are sound again.
  private static final long MAX_BACKOFF_MILLIS = 2_000;

  private static final class Caller {
    private final AdviceService service;
    private int calls;
    private int longCalls;
    private double busyMillis;
    private long backoffUntil = Long.MIN_VALUE;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long heldUntil = Long.MIN_VALUE;
    private long nextHoldAt = Long.MIN_VALUE;

    Caller(AdviceService service) {
      this.service = service;
    }
  }

  private record Reservation(Caller caller, double millis, long reservedAt) {}

  private final Timers timers;
  private final Caller localCaller;
  private final Map<String, Caller> callers = new LinkedHashMap<>();
  private final Deque<Reservation> reserved = new ArrayDeque<>();

  AdviceDispatcher(AdviceService localService, Timers timers) {
    this.timers = timers;
    localCaller = new Caller(localService);
  }

  /**
   * Adds another entry host that can make calls.
   *
   * @param host identifies the host
   * @param service makes a call through the host
   */
  void addHost(String host, AdviceService service) {
    callers.put(host, new Caller(service));
  }

  /**
   * Removes a host that cannot be reached through a service any more, unless it was added again
   * with another one since.
   */
  void removeHost(String host, AdviceService service) {
    callers.computeIfPresent(host, (h, caller) -> caller.service == service ? null : caller);
  }

  @Override
  public boolean reserve(double callMillis) {
    Optional<Caller> free = AdviceSlots.isShort(callMillis) ? shortCaller() : longCaller();
    free.ifPresent(
        c -> {
          c.calls++;
          c.longCalls += AdviceSlots.isShort(callMillis) ? 0 : 1;
          c.busyMillis += callMillis;
          c.heldUntil = Long.MIN_VALUE;
          reserved.add(new Reservation(c, callMillis, timers.nowMillis()));
        });
    return free.isPresent();
  }

  @Override
  public Usage usage() {
    int calls = localCaller.calls + callers.values().stream().mapToInt(c -> c.calls).sum();
    return new Usage(1 + (int) availablePeers().count(), 1 + callers.size(), calls);
  }

  private Optional<Caller> shortCaller() {
    long now = timers.nowMillis();
    return Stream.concat(Stream.of(localCaller), availablePeers())
        .filter(c -> c.heldUntil <= now)
        .filter(c -> c.calls < MAX_SHORT_CALLS_PER_CALLER && c.busyMillis <= SHORT_CALL_MILLIS)
        .min(
            Comparator.comparingDouble(
                c -> c.busyMillis + (c == localCaller ? 0 : PEER_CALL_OVERHEAD_MILLIS)));
  }

  private Optional<Caller> longCaller() {
    List<Caller> others = availablePeers().toList();
    List<Caller> callers = others.isEmpty() ? List.of(localCaller) : others;
    long maxLongCalls =
        callers.size() - Math.min(SHORT_ONLY_HOSTS, callers.size() / SHORT_ONLY_DIVISOR);
    if (callers.stream().filter(c -> c.longCalls > 0).count() >= maxLongCalls) {
      return Optional.empty();
    }
    Optional<Caller> idle = callers.stream().filter(c -> c.calls == 0).findFirst();
    if (idle.isEmpty()) {
      hold(callers, maxLongCalls);
    }
    return idle;
  }

  /**
   * Keeps callers free for long calls: those that are kept already, and the one that has least to
   * do if more may make long calls.
   */
  private void hold(List<Caller> callers, long maxLongCalls) {
    long now = timers.nowMillis();
    boolean allMakeLongCalls = maxLongCalls == callers.size();
    List<Caller> held = callers.stream().filter(c -> c.heldUntil > now).toList();
    held.forEach(c -> c.heldUntil = now + HOLD_MILLIS);
    long making = callers.stream().filter(c -> c.longCalls > 0).count();
    if (held.size() < (allMakeLongCalls ? 1 : maxLongCalls - making)) {
      callers.stream()
          .filter(c -> c.longCalls == 0 && c.heldUntil <= now)
          .filter(c -> !allMakeLongCalls || c.nextHoldAt <= now)
          .min(Comparator.comparingDouble(c -> c.busyMillis))
          .ifPresent(c -> c.heldUntil = now + HOLD_MILLIS);
    }
  }

  private Stream<Caller> availablePeers() {
    long now = timers.nowMillis();
    return callers.values().stream()
        .filter(c -> c.backoffUntil <= now)
        .sorted(Comparator.comparingDouble(c -> c.busyMillis));
  }

  /**
   * Excludes a caller whose call failed; the exclusion doubles with each further failure up to a
   * limit.
   */
  private void backOff(Caller caller) {
    caller.backoffUntil = timers.nowMillis() + caller.backoffMillis;
    caller.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, caller.backoffMillis * 2);
  }

  /**
   * Makes a call on the caller that was reserved for it. Calls have to be made in the order of
   * their reservations.
   */
  Future<Map<String, String>> requestAdvice(Action.RequestAdvice action) {
    Reservation slot = reserved.remove();
    Caller caller = slot.caller;
    long timeout = Math.round(caller.busyMillis) + TIMEOUT_MARGIN_MILLIS;
    return caller
        .service
        .requestAdvice(action.step(), action.executors(), timeout)
        .onSuccess(tickets -> caller.backoffMillis = INITIAL_BACKOFF_MILLIS)
        .onFailure(problem -> backOff(caller))
        .onComplete(
            result -> {
              caller.calls--;
              caller.busyMillis -= slot.millis;
              if (!AdviceSlots.isShort(slot.millis)) {
                caller.longCalls--;
                long now = timers.nowMillis();
                caller.nextHoldAt = now + (now - slot.reservedAt);
              }
            });
  }
}
