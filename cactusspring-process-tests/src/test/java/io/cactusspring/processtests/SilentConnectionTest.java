package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class SilentConnectionTest {
  private static final int GOOD_ANSWERS = 60;
  private static final int SENDERS = 3;

  private static Relay relay;
  private static Cell cell;

  @BeforeAll
  static void startCell() throws Exception {
    relay = new Relay();
    cell = Cell.builder("riga-a").executorRelays(relay).start();
  }

  @AfterAll
  static void stopCell() throws Exception {
    cell.close();
    relay.close();
  }

  @Test
  void silentConnectionsAreReplacedAndNothingRunsTwice() throws Exception {
    List<RequestLoad.Sent> sent = sendAcrossSilence("once-", false);
    RequestChecks.assertTrue(sent, cell.executions());
    RequestChecks.assertAtMostOnce(executionsOf("once-"));
    assertThat(cell.entryHosts().get(0).process().isAlive()).isTrue();
  }

  @Test
  void idempotentRequestsSurviveSilentConnections() throws Exception {
    List<RequestLoad.Sent> sent = sendAcrossSilence("again-", true);
    RequestChecks.assertTrue(sent, cell.executions());
    assertThat(sent.stream().filter(s -> !s.isGood()).toList()).isEmpty();
  }

  private static List<RequestLoad.Sent> sendAcrossSilence(String prefix, boolean idempotent)
      throws Exception {
    RequestLoad load = RequestLoad.start(prefix, cell.entryHosts(), idempotent, SENDERS);
    load.awaitGood(GOOD_ANSWERS, cell.entryHosts());
    int accepted = relay.accepted();
    assertThat(relay.silenceOpenConnections()).isGreaterThan(0);
    load.awaitGood(GOOD_ANSWERS, cell.entryHosts());
    assertThat(relay.accepted()).isGreaterThan(accepted);
    return load.stop();
  }

  private static List<Execution> executionsOf(String prefix) throws Exception {
    return cell.executions().stream().filter(e -> e.request().startsWith(prefix)).toList();
  }
}
