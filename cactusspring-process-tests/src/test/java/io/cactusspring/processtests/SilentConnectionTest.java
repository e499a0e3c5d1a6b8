package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that hang or run twice when established connections to an executor stay
 * open but no longer carry data.
 */
class SilentConnectionTest {
  private static final int SUCCESSES = 60;
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
    List<RequestLoad.SentRequest> sent = sendBeforeAndAfterSilence("once-", false);
    RequestChecks.assertConsistent(sent, cell.executions());
    RequestChecks.assertAtMostOnce(executionsOf("once-"));
    assertThat(cell.entryHosts().get(0).process().isAlive()).isTrue();
  }

  @Test
  void idempotentRequestsSucceedDespiteSilentConnections() throws Exception {
    List<RequestLoad.SentRequest> sent = sendBeforeAndAfterSilence("again-", true);
    RequestChecks.assertConsistent(sent, cell.executions());
    assertThat(sent.stream().filter(s -> !s.isSuccessful()).toList()).isEmpty();
  }

  private static List<RequestLoad.SentRequest> sendBeforeAndAfterSilence(
      String prefix, boolean idempotent) throws Exception {
    RequestLoad load = RequestLoad.start(prefix, cell.entryHosts(), idempotent, SENDERS);
    load.awaitSuccesses(SUCCESSES, cell.entryHosts());
    int accepted = relay.accepted();
    assertThat(relay.silenceOpenConnections()).isGreaterThan(0);
    load.awaitSuccesses(SUCCESSES, cell.entryHosts());
    assertThat(relay.accepted()).isGreaterThan(accepted);
    return load.stop();
  }

  private static List<Execution> executionsOf(String prefix) throws Exception {
    return cell.executions().stream().filter(e -> e.request().startsWith(prefix)).toList();
  }
}
