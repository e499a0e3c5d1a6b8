package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
  private static final int OPEN_REQUESTS = 6;
  private static final String SLOW = "{\"slowMillis\":700}";

  @Test
  void sigtermUnderLoadCutsOffNoRequest() throws Exception {
    try (Cell cell = Cell.builder("riga-a").hostsPerZone(2).executors(2).start()) {
      EntryHost leaving = cell.entryHosts().get(1);
      EntryHost staying = cell.entryHosts().get(0);
      cell.switchExecutors(SLOW);
      RequestLoad toLeaving = RequestLoad.start("l", List.of(leaving), false, OPEN_REQUESTS);
      RequestLoad toStaying = RequestLoad.start("s", List.of(staying), false, 2);
      Await.until("open requests", () -> cell.executions().size() >= 2 * OPEN_REQUESTS);
      leaving.process().terminate();
      leaving.process().awaitExit();
      toStaying.awaitGood(4, List.of(staying));
      List<RequestLoad.Sent> sent = toLeaving.stop();
      assertNoneCutOff(sent, cell.executions());
      RequestChecks.assertTrue(sent, cell.executions());
      RequestChecks.assertTrue(toStaying.stop(), cell.executions());
      RequestChecks.assertAtMostOnce(cell.executions());
    }
  }

  /** Asserts that each request that ran was answered whole. */
  private static void assertNoneCutOff(List<RequestLoad.Sent> sent, List<Execution> executions) {
    List<String> executed = executions.stream().map(Execution::request).toList();
    List<RequestLoad.Sent> ran = sent.stream().filter(s -> executed.contains(s.id())).toList();
    assertThat(ran.size()).isAtLeast(OPEN_REQUESTS);
    assertWithMessage("requests that ran and got no good answer")
        .that(ran.stream().filter(s -> !s.isGood()).toList())
        .isEmpty();
  }
}
