package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SilentConnectionTest {
  private static final int GOOD_ANSWERS = 60;

  @Test
  void silentConnectionsAreReplacedAndNothingRunsTwice() throws Exception {
    try (Relay relay = new Relay();
        Cell cell = Cell.start(List.of("riga-a"), 1, 1, 1, List.of(relay))) {
      EntryHost host = cell.entryHosts().get(0);
      RequestLoad load = RequestLoad.start("s", cell.entryHosts(), false, 3);
      load.awaitGood(GOOD_ANSWERS, cell.entryHosts());
      int accepted = relay.accepted();
      assertThat(relay.silenceOpenConnections()).isGreaterThan(0);
      load.awaitGood(GOOD_ANSWERS, cell.entryHosts());
      assertThat(relay.accepted()).isGreaterThan(accepted);
      List<RequestLoad.Sent> sent = load.stop();
      RequestChecks.assertTrue(sent, cell.executions());
      RequestChecks.assertAtMostOnce(cell.executions());
      assertThat(host.process().isAlive()).isTrue();
    }
  }

  @Test
  void idempotentRequestsSurviveSilentConnections() throws Exception {
    try (Relay relay = new Relay();
        Cell cell = Cell.start(List.of("riga-a"), 1, 1, 1, List.of(relay))) {
      RequestLoad load = RequestLoad.start("i", cell.entryHosts(), true, 3);
      load.awaitGood(GOOD_ANSWERS, cell.entryHosts());
      relay.silenceOpenConnections();
      load.awaitGood(GOOD_ANSWERS, cell.entryHosts());
      List<RequestLoad.Sent> sent = load.stop();
      RequestChecks.assertTrue(sent, cell.executions());
      assertThat(sent.stream().filter(s -> !s.isGood()).toList()).isEmpty();
    }
  }
}
