package io.cactusspring.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class FairQueueTest {
  private record Item(String team, int number) {}

  private final FairQueue<Item> queue = new FairQueue<>();

  @Property(tries = 300, seed = "11")
  void waitingTeamsAreServedInProportionToTheirWeights(
      @ForAll @Size(min = 2, max = 6) List<@IntRange(min = 1, max = 20) Integer> weights) {
    FairQueue<Item> q = new FairQueue<>();
    int total = weights.stream().mapToInt(w -> w).sum();
    for (int t = 0; t < weights.size(); t++) {
      for (int i = 0; i < 4 * total; i++) {
        q.add("t" + t, weights.get(t), new Item("t" + t, i));
      }
    }
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 3 * total; i++) {
      served.merge(takeNext(q).team(), 1, Integer::sum);
    }
    for (int t = 0; t < weights.size(); t++) {
      int n = served.getOrDefault("t" + t, 0);
      assertThat(Math.abs(n - 3 * weights.get(t))).isAtMost(1);
    }
  }

  @Example
  void itemsOfATeamKeepTheirOrder() {
    IntStream.range(0, 5).forEach(i -> queue.add("a", 1, new Item("a", i)));
    List<Integer> order =
        IntStream.range(0, 5).mapToObj(i -> takeNext(queue).number()).collect(Collectors.toList());
    assertThat(order).isInOrder();
  }

  @Example
  void idleTeamAccumulatesNoCredit() {
    IntStream.range(0, 100).forEach(i -> queue.add("busy", 1, new Item("busy", i)));
    IntStream.range(0, 50).forEach(i -> takeNext(queue));
    IntStream.range(0, 50).forEach(i -> queue.add("late", 1, new Item("late", i)));
    long late =
        IntStream.range(0, 20)
            .mapToObj(i -> takeNext(queue))
            .filter(i -> i.team().equals("late"))
            .count();
    assertThat(late).isAtMost(11);
  }

  @Example
  void ineligibleTeamAccumulatesNoCredit() {
    IntStream.range(0, 100).forEach(i -> queue.add("free", 1, new Item("free", i)));
    IntStream.range(0, 100).forEach(i -> queue.add("held", 1, new Item("held", i)));
    for (int i = 0; i < 50; i++) {
      queue.peek(x -> x.team().equals("free"));
      queue.take("free");
    }
    long held =
        IntStream.range(0, 20)
            .mapToObj(i -> takeNext(queue))
            .filter(i -> i.team().equals("held"))
            .count();
    assertThat(held).isAtMost(11);
  }

  @Example
  void removedItemIsNotServed() {
    queue.add("a", 1, new Item("a", 0));
    queue.add("a", 1, new Item("a", 1));
    assertThat(queue.remove("a", new Item("a", 0))).isTrue();
    assertThat(queue.size("a")).isEqualTo(1);
    assertThat(takeNext(queue).number()).isEqualTo(1);
    assertThat(queue.peek(x -> true)).isEmpty();
  }

  @Example
  void itemsBeforeCountsOnlyTheFairShareOfOtherTeams() {
    IntStream.range(0, 100).forEach(i -> queue.add("big", 1, new Item("big", i)));
    assertThat(queue.itemsBefore("small", 1)).isEqualTo(1);
    assertThat(queue.itemsBefore("big", 1)).isEqualTo(100);
  }

  private static Item takeNext(FairQueue<Item> q) {
    return q.take(q.peek(x -> true).orElseThrow().team());
  }
}
