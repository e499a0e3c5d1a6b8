package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ReleaseNote;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards against work admitted with a withdrawn key or sent to a leaving endpoint. */
class WithdrawalTest {
  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int REQUESTS = 40;

  private static Cell cell;

  @BeforeAll
  static void startCell() throws Exception {
    cell = Cell.builder("riga-a", "riga-b").workers(2).executors(4).start();
  }

  @AfterAll
  static void stopCell() {
    cell.close();
  }

  @Test
  void withdrawnKeyIsRefusedEverywhereAndItsRequestsDoNotRun() throws Exception {
    EntryHost first = cell.entryHosts().get(0);
    assertThat(first.request("late-before", true, "late-key").status()).isEqualTo(OK);
    long revision =
        first.configuration("ops").items().stream()
            .filter(item -> item.path().equals("key/late-key"))
            .findFirst()
            .orElseThrow()
            .revision();
    ReleaseNote note =
        new ReleaseNote(
            "withdraw-late", "ops", List.of(new Change.Withdraw("key/late-key", revision)));
    assertThat(first.apply(note, "ops").status()).isEqualTo(OK);
    for (EntryHost host : cell.entryHosts()) {
      Await.until(
          "key refused by " + host.name(),
          () -> host.request("probe", true, "late-key").status() == UNAUTHORIZED);
      Http.Response response = host.request("late-after", true, "late-key");
      assertThat(response.status()).isEqualTo(UNAUTHORIZED);
      assertThat(response.body()).contains("\"ran\":\"NO\"");
    }
    assertThat(cell.executions().stream().map(Execution::request).toList())
        .doesNotContain("late-after");
  }

  @Test
  void leavingEndpointReceivesNothingNew() throws Exception {
    cell.updateHost("x0", "{\"leaving\":true}");
    Await.until("no request reaches the leaving endpoint", WithdrawalTest::receivesNothing);
    assertWithMessage("still no request reaches the leaving endpoint")
        .that(receivesNothing())
        .isTrue();
  }

  /** Sends requests to all entry hosts and returns whether none reached the endpoint. */
  private static boolean receivesNothing() throws Exception {
    int before = cell.executionsOf(0).size();
    for (int i = 0; i < REQUESTS; i++) {
      EntryHost host = cell.entryHosts().get(i % cell.entryHosts().size());
      Http.Response response = host.request("leave-" + System.nanoTime(), true, "counter-key");
      assertWithMessage("request while the endpoint is leaving: " + response)
          .that(response.status())
          .isEqualTo(OK);
    }
    return cell.executionsOf(0).size() == before;
  }
}
