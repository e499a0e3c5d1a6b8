package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.StepSpec;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests gangs whose members need whole executors beside tasks of one accelerator, which are nine
 * tenths in use, while the processors are not scarce.
 */
final class GangReservationTest {
  private static final Resources CAPACITY = new Resources(64_000, 256_000, 8);
  private static final Resources WHOLE = new Resources(31_000, 90_000, 8);
  private static final Resources PART = new Resources(5_600, 16_000, 1);
  private static final Queue GANGS =
      new Queue("gangs", "h", "/g/", "svc", 1, 3, 2.2, 1_000, null, false);
  private static final Queue PARTS =
      new Queue("parts", "h", "/p/", "svc", 2, 3, 4, 3_000, null, false);
  private static final int EXECUTORS = 8;
  private static final int SEEDS = 3;

  /** What the users ask for of the customer that this load is taken from. */
  private static final double TARGET = 0.88;

  private static final long GANG_MILLIS = 3_600;
  private static final long PART_MILLIS = 3_000;

  private static StepSpec gang(int members) {
    return StepSpec.builder()
        .tasks(members)
        .gang(true)
        .resources(WHOLE)
        .estimateMillis(GANG_MILLIS)
        .build();
  }

  private static StepSpec parts(int tasks) {
    return StepSpec.builder().tasks(tasks).resources(PART).estimateMillis(PART_MILLIS).build();
  }

  /** Submits gangs and parts that arrive at random and take nine tenths of the accelerators. */
  private static SlotModel play(SlotModel model, long seed) {
    model.executors(EXECUTORS, CAPACITY);
    Random random = new Random(seed);
    for (int i = 0; i < 3_000; i++) {
      if (random.nextDouble() < 0.013) {
        model.submit("gang" + i, GANGS, "", 1, gang(1 + random.nextInt(2)));
      }
      if (random.nextDouble() < 0.034) {
        model.submit("parts" + i, PARTS, "", 1, parts(2 + random.nextInt(13)));
      }
      model.tick();
    }
    model.run(30_000);
    return model;
  }

  private static double inTime(SlotModel model, Queue queue) {
    return model.submissions.values().stream()
        .filter(s -> s.spec.queue().equals(queue))
        .mapToInt(s -> s.isInTime() ? 1 : 0)
        .average()
        .orElseThrow();
  }

  @Test
  void gangsAreInTimeBesideManySmallTasks() {
    double gangs = 0;
    double gangsWithout = 0;
    double parts = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      SlotModel with = play(SlotModel.newOrder(), seed);
      gangs += inTime(with, GANGS) / SEEDS;
      parts += inTime(with, PARTS) / SEEDS;
      gangsWithout += inTime(play(SlotModel.without(Mechanism.RESERVATIONS), seed), GANGS) / SEEDS;
    }
    String figures =
        "gangs %.2f, %.2f without reservations; parts %.2f".formatted(gangs, gangsWithout, parts);
    assertWithMessage(figures).that(1 - gangs).isAtMost((1 - gangsWithout) / 2);
    assertWithMessage(figures).that(Math.min(gangs, parts)).isAtLeast(TARGET);
  }

  /** All executors hold one long task each, so that only what ends before may start. */
  @Test
  void taskThatEndsBeforeTheGangMayStartUsesAReservedExecutor() {
    SlotModel model = SlotModel.newOrder().executors(2, CAPACITY);
    model.submit("long", PARTS, "", 5, parts(12));
    model.run(200);
    model.submit("gang", GANGS, "", 1, gang(2));
    model.run(200);
    model.submit(
        "short",
        PARTS,
        "",
        1,
        StepSpec.builder().tasks(4).resources(PART).estimateMillis(500).build());
    model.run(600);
    assertThat(model.submissions.get("short").isDone()).isTrue();
    model.submit("late", PARTS, "", 1, parts(1));
    model.run(3_000);
    assertThat(model.firstStartAt).doesNotContainKey("late");
  }

  /** The gang is cancelled while executors are kept for it. */
  @Test
  void reservationEndsWithItsGang() {
    SlotModel model = SlotModel.newOrder().executors(2, CAPACITY);
    model.submit("running", PARTS, "", 1, parts(12));
    model.run(200);
    model.submit("gang", GANGS, "", 1, gang(2));
    model.submit("held", PARTS, "", 1, parts(4));
    model.run(200);
    model.cancel("gang");
    model.run(200);
    assertThat(model.firstStartAt).containsKey("held");
  }

  /** Narrow members find room between others. */
  @Test
  void nothingIsKeptForNarrowMembers() {
    SlotModel model = SlotModel.newOrder().executors(2, CAPACITY);
    StepSpec narrow =
        StepSpec.builder().tasks(9).gang(true).resources(new Resources(5_000, 1_000, 2)).build();
    model.submit("running", PARTS, "", 1, parts(2));
    model.run(200);
    model.submit("gang", GANGS, "", 1, narrow);
    model.run(200);
    model.submit("small", PARTS, "", 1, parts(1));
    model.run(200);
    assertThat(model.firstStartAt).doesNotContainKey("gang");
    assertThat(model.firstStartAt).containsKey("small");
  }
}
