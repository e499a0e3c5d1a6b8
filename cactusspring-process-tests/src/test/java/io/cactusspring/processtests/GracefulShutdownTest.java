package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a shutdown that drops requests which an executor has already started. */
class GracefulShutdownTest {
  private static final int OPEN_REQUESTS = 6;
  private static final String SLOW = "{\"slowMillis\":700}";

  @Test
  void sigtermUnderLoadInterruptsNoRequest() throws Exception {
    try (Cell cell = Cell.builder("riga-a").hostsPerZone(2).executors(2).start()) {
      EntryHost stopping = cell.entryHosts().get(1);
      EntryHost remaining = cell.entryHosts().get(0);
      cell.configureExecutors(SLOW);
      RequestLoad stoppingLoad = RequestLoad.start("l", List.of(stopping), false, OPEN_REQUESTS);
      RequestLoad remainingLoad = RequestLoad.start("s", List.of(remaining), false, 2);
      Await.until("open requests", () -> cell.executions().size() >= 2 * OPEN_REQUESTS);
      stopping.process().terminate();
      stopping.process().awaitExit();
      remainingLoad.awaitSuccesses(4, List.of(remaining));
      List<RequestLoad.SentRequest> sent = stoppingLoad.stop();
      assertNoneInterrupted(sent, cell.executions());
      RequestChecks.assertConsistent(sent, cell.executions());
      RequestChecks.assertConsistent(remainingLoad.stop(), cell.executions());
      RequestChecks.assertAtMostOnce(cell.executions());
    }
  }

  /** Asserts that each request that ran received a complete, successful response. */
  private static void assertNoneInterrupted(
      List<RequestLoad.SentRequest> sent, List<Execution> executions) {
    List<String> executed = executions.stream().map(Execution::request).toList();
    List<RequestLoad.SentRequest> ran =
        sent.stream().filter(s -> executed.contains(s.id())).toList();
    assertThat(ran.size()).isAtLeast(OPEN_REQUESTS);
    assertWithMessage("requests that ran without a successful response")
        .that(ran.stream().filter(s -> !s.isSuccessful()).toList())
        .isEmpty();
  }
}
