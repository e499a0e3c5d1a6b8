package io.cactusspring.core.request;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** One event of a fuzzed history; {@code a} and {@code b} choose among what is there. */
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

  /** Returns a history; equal seeds give equal histories. */
  static List<Step> history(long seed, int length) {
    SplittableRandom random = new SplittableRandom(seed);
    Kind[] kinds = Kind.values();
    return IntStream.range(0, length)
        .mapToObj(i -> kindOf(random, kinds))
        .map(k -> new Step(k, random.nextInt(BOUND), random.nextInt(BOUND)))
        .toList();
  }

  /** Every other step is an offer, so that there is something to fail. */
  private static Kind kindOf(SplittableRandom random, Kind[] kinds) {
    return random.nextBoolean() ? Kind.OFFER : kinds[random.nextInt(kinds.length)];
  }
}
