package io.cactusspring.standins.worker;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.standins.hosts.Resources;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TaskTableTest {
  private static final Resources TOTAL = new Resources(4_000, 4_096, 0);
  private static final Resources HALF = new Resources(2_000, 1_024, 0);
  private static final long LEASE_MILLIS = 1_000;

  private final RunRegistry registry = new RunRegistry();
  private final TaskTable table = table();

  @Test
  void lapsedLeaseEndsTheTask() throws Exception {
    start(7, "b#0@1", 0, 0);
    SyncAnswer response = sync(renewing(7, "b#0@1"), LEASE_MILLIS);
    assertThat(response.running()).isEmpty();
    assertThat(response.missing()).containsExactly("b#0@1");
    assertThat(response.ended()).containsExactly(new EndedTask("b#0@1", TaskResult.LAPSED));
  }

  @Test
  void renewedLeaseKeepsTheTaskRunning() throws Exception {
    start(7, "b#0@1", 0, 0);
    sync(renewing(7, "b#0@1"), LEASE_MILLIS - 1);
    SyncAnswer response = sync(full(7), LEASE_MILLIS + 1);
    assertThat(response.running()).hasSize(1);
    assertThat(response.running().get(0).remainingLeaseMillis()).isEqualTo(LEASE_MILLIS - 2);
  }

  @Test
  void leaseRunsFromReceiptEvenIfTheStartIsDelayed() throws Exception {
    table.start(body(7, "b#0@1", 0, ""), nanos(0), nanos(LEASE_MILLIS + 1));
    assertThat(sync(full(7), LEASE_MILLIS + 1).ended())
        .containsExactly(new EndedTask("b#0@1", TaskResult.LAPSED));
  }

  @Test
  void lowerEpochIsRejectedWithoutEffect() throws Exception {
    start(8, "b#0@1", 0, 0);
    StaleEpochException rejected =
        assertThrows(StaleEpochException.class, () -> start(7, "b#1@1", 0, 1));
    assertThat(rejected.highestEpoch()).isEqualTo(8);
    assertThrows(StaleEpochException.class, () -> sync(stopping(7, "b#0@1"), 1));
    assertThat(ids(sync(full(8), 2))).containsExactly("b#0@1");
  }

  @Test
  void taskStartsOnlyOnceEvenAfterItEnded() throws Exception {
    assertThat(start(7, "b#0@1", 10, 0)).isTrue();
    assertThat(start(7, "b#0@1", 10, 5)).isFalse();
    assertThat(start(7, "b#0@1", 10, 20)).isFalse();
    assertThat(sync(full(7), 20).ended())
        .containsExactly(new EndedTask("b#0@1", TaskResult.SUCCEEDED));
  }

  @Test
  void endedTaskIsReportedUntilForgotten() throws Exception {
    start(7, "b#0@1", 10, 0);
    assertThat(sync(full(7), 20).ended()).hasSize(1);
    assertThat(sync(full(7), 21).ended()).hasSize(1);
    SyncBody forget = new SyncBody(7, null, LEASE_MILLIS, null, null, List.of("b#0@1"), null, true);
    assertThat(sync(forget, 22).ended()).isEmpty();
  }

  @Test
  void taskWithFailPayloadEndsAsFailed() throws Exception {
    table.start(body(7, "b#0@1", 10, "fail"), nanos(0), nanos(0));
    assertThat(sync(full(7), 20).ended())
        .containsExactly(new EndedTask("b#0@1", TaskResult.FAILED));
  }

  @Test
  void checkpointKeepsProgressForTheNextAttempt() throws Exception {
    start(7, "b#0@1", 100, 0);
    SyncBody checkpoint =
        new SyncBody(7, null, LEASE_MILLIS, null, List.of("b#0@1"), null, null, true);
    assertThat(sync(checkpoint, 60).ended())
        .containsExactly(new EndedTask("b#0@1", TaskResult.CHECKPOINTED));
    start(7, "b#0@2", 100, 60);
    assertThat(ids(sync(full(7), 99))).containsExactly("b#0@2");
    assertThat(ids(sync(full(7), 100))).isEmpty();
  }

  @Test
  void throttledTaskRunsAtHalfSpeed() throws Exception {
    start(7, "b#0@1", 100, 0);
    SyncBody throttle =
        new SyncBody(7, null, LEASE_MILLIS, null, null, null, List.of("b#0@1"), true);
    sync(throttle, 50);
    assertThat(ids(sync(full(7), 149))).containsExactly("b#0@1");
    assertThat(ids(sync(full(7), 150))).isEmpty();
  }

  @Test
  void usageIsReportedAfterTheLag() throws Exception {
    start(7, "b#0@1", 0, 0);
    assertThat(sync(full(7), 499).running().get(0).usage()).isEqualTo(Resources.NONE);
    Resources known = sync(full(7), 500).running().get(0).usage();
    assertThat(known.milliProcessors()).isGreaterThan(0);
    assertThat(known.exceeds(HALF)).isFalse();
  }

  @Test
  void overcommitAndDoubleRunAreRecorded() throws Exception {
    TaskTable other = table();
    start(7, "b#0@1", 0, 0);
    start(7, "b#1@1", 0, 0);
    assertThat(table.violations()).isEqualTo(new Violations(0, 0));
    start(7, "b#2@1", 0, 0);
    other.start(body(7, "b#0@2", 0, ""), nanos(0), nanos(0));
    assertThat(table.violations()).isEqualTo(new Violations(1, 0));
    assertThat(other.violations()).isEqualTo(new Violations(0, 1));
  }

  private TaskTable table() {
    return new TaskTable("i1", TOTAL, 500, registry, new Random(1));
  }

  private boolean start(long epoch, String task, long expectedMillis, long atMillis)
      throws StaleEpochException {
    return table.start(body(epoch, task, expectedMillis, ""), nanos(atMillis), nanos(atMillis));
  }

  private SyncAnswer sync(SyncBody body, long atMillis) throws StaleEpochException {
    return table.sync(body, nanos(atMillis));
  }

  private static StartBody body(long epoch, String task, long expectedMillis, String payload) {
    return new StartBody(epoch, task, LEASE_MILLIS, HALF, expectedMillis, payload);
  }

  private static SyncBody full(long epoch) {
    return new SyncBody(epoch, null, LEASE_MILLIS, null, null, null, null, true);
  }

  private static SyncBody renewing(long epoch, String task) {
    return new SyncBody(epoch, List.of(task), LEASE_MILLIS, null, null, null, null, false);
  }

  private static SyncBody stopping(long epoch, String task) {
    return new SyncBody(epoch, null, LEASE_MILLIS, List.of(task), null, null, null, false);
  }

  private static List<String> ids(SyncAnswer response) {
    return response.running().stream().map(RunningTask::task).toList();
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
