package io.cactusspring.core.request;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** One event of a fuzzed history; {@code a} and {@code b} select the objects and values it uses. */
record Step(Kind kind, int a, int b) {
  enum Kind {
    OFFER,
    ANSWER,
    CROSSED_ANSWER,
    NOT_RUN,
    NOT_SENT,
    FAIL_AFTER_RUN,
    FAIL_BEFORE_RUN,
    LATE_REPORT,
    ADVANCE,
    TOGGLE_LEAVING,
    REMOVE_ENDPOINT,
    SET_LIMIT,
    ABANDON
  }

  private static final int BOUND = 1_000;

  /** Returns a random history; equal seeds give equal histories. */
  static List<Step> history(long seed, int length) {
    SplittableRandom random = new SplittableRandom(seed);
    Kind[] kinds = Kind.values();
    return IntStream.range(0, length)
        .mapToObj(i -> kindOf(random, kinds))
        .map(k -> new Step(k, random.nextInt(BOUND), random.nextInt(BOUND)))
        .toList();
  }

  /** At least half of the steps are offers on average, so that attempts are available to end. */
  private static Kind kindOf(SplittableRandom random, Kind[] kinds) {
    return random.nextBoolean() ? Kind.OFFER : kinds[random.nextInt(kinds.length)];
  }
}
