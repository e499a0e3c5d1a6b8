package io.cactusspring.processtests;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.Submission;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against responses that disagree with what ran when appends to the platform's log fail,
 * hang or lose their response.
 */
class LogOutageTest {
  private static final int ACCEPTED = 202;
  private static final int TASKS = 3;
  private static final long TASK_MILLIS = 200;
  private static final long RESPONSE_SECONDS = 60;

  private static Cell cell;

  @BeforeAll
  static void startCell() throws Exception {
    cell = Cell.builder("riga-a", "riga-b").workers(2).executors(2).start();
  }

  @AfterAll
  static void stopCell() {
    cell.close();
  }

  @Test
  void submissionAcrossARefusingOutageIsRefusedWithoutStartingOrRunsOnce() throws Exception {
    assertResponseMatchesStartsAcross(
        "refuse", TestSubmissions.nonIdempotent("across-refuse", TASKS, TASK_MILLIS));
  }

  @Test
  void submissionAcrossASilentOutageIsRefusedWithoutStartingOrRunsOnce() throws Exception {
    assertResponseMatchesStartsAcross(
        "silent", TestSubmissions.nonIdempotent("across-silent", TASKS, TASK_MILLIS));
  }

  @Test
  void requestsSucceedDuringALogOutage() throws Exception {
    cell.configureLog("{\"outage\":\"refuse\"}");
    try {
      RequestLoad load = RequestLoad.start("out", cell.entryHosts(), true, 2);
      load.awaitSuccesses(50, cell.entryHosts());
      RequestChecks.assertConsistent(load.stop(), cell.executions());
    } finally {
      cell.configureLog("{\"outage\":\"none\"}");
    }
  }

  @Test
  void submissionWhoseAppendResponseIsLostRunsOnce() throws Exception {
    Submission submission = TestSubmissions.nonIdempotent("lost-answer", TASKS, TASK_MILLIS);
    cell.configureLog("{\"loseNextAnswers\":1}");
    Http.Response response = cell.entryHosts().get(0).submit(submission, TestSubmissions.KEY);
    assertResponseMatchesStarts(submission, response);
  }

  @Test
  void noteWhoseAppendResponseIsLostIsAppliedOnceAndRevertsNoLaterChange() throws Exception {
    EntryHost first = cell.entryHosts().get(0);
    EntryHost second = cell.entryHosts().get(1);
    cell.configureLog("{\"loseNextAnswers\":1}");
    Http.Response added = first.apply(note("add-temp", new Change.Add(team("temp", 1))), "ops");
    assertWithMessage("note whose append response was lost: " + added)
        .that(added.status())
        .isEqualTo(200);
    Await.until("item in force on the other entry host", () -> revisionOf(second, "team/temp") > 0);
    long revision = revisionOf(second, "team/temp");
    Http.Response changed =
        second.apply(note("change-temp", new Change.Replace(team("temp", 2), revision)), "ops");
    assertWithMessage("later note: " + changed).that(changed.status()).isEqualTo(200);
    long newer = revisionOf(second, "team/temp");
    assertThat(newer).isGreaterThan(revision);
    Http.Response again = first.apply(note("add-temp", new Change.Add(team("temp", 1))), "ops");
    Await.until(
        "later revision in force on the first entry host",
        () -> revisionOf(first, "team/temp") >= newer);
    assertWithMessage("revision after the first note was repeated: " + again)
        .that(revisionOf(first, "team/temp"))
        .isEqualTo(newer);
  }

  private static void assertResponseMatchesStartsAcross(String outage, Submission submission)
      throws Exception {
    EntryHost host = cell.entryHosts().get(0);
    cell.configureLog("{\"outage\":\"" + outage + "\"}");
    CompletableFuture<Http.Response> response = new CompletableFuture<>();
    Thread.ofVirtual().start(() -> complete(response, host, submission));
    try {
      RequestLoad load = RequestLoad.start("a-" + submission.id(), List.of(host), true, 1);
      load.awaitSuccesses(20, List.of(host));
      load.stop();
    } finally {
      cell.configureLog("{\"outage\":\"none\"}");
    }
    assertResponseMatchesStarts(submission, response.get(RESPONSE_SECONDS, TimeUnit.SECONDS));
  }

  private static void complete(
      CompletableFuture<Http.Response> response, EntryHost host, Submission submission) {
    try {
      response.complete(host.submit(submission, TestSubmissions.KEY));
    } catch (Exception e) {
      response.completeExceptionally(e);
    }
  }

  /**
   * Asserts that the response agrees with the starts that the workers recorded, once earlier
   * records have been read.
   */
  private static void assertResponseMatchesStarts(Submission submission, Http.Response response)
      throws Exception {
    EntryHost other = cell.entryHosts().get(1);
    String id = submission.id();
    boolean unknown = response.body().contains("\"ran\":\"UNKNOWN\"");
    boolean refused = response.body().contains("\"ran\":\"NO\"");
    assertWithMessage("response to " + id + ": " + response)
        .that(response.status() == ACCEPTED || unknown || refused)
        .isTrue();
    awaitEarlierRecordsRead(other);
    if (response.status() == ACCEPTED || (unknown && exists(other, id))) {
      Await.until(id + " ends", () -> other.hasEnded(id, TestSubmissions.KEY));
      cell.workerHistory().assertStartedOnce(id, submission.tasks());
    } else {
      assertWithMessage("starts of " + id + " after " + response)
          .that(cell.workerHistory().startsOf(id))
          .isEqualTo(0);
    }
    cell.workerHistory().assertSafe();
  }

  /** Waits until a later submission has ended, which implies that earlier records were read. */
  private static void awaitEarlierRecordsRead(EntryHost host) throws Exception {
    String id = "settle-" + System.nanoTime();
    Await.until(
        "a submission is accepted after the outage",
        () ->
            host.submit(TestSubmissions.idempotent(id, 1, 1), TestSubmissions.KEY).status()
                == ACCEPTED);
    Await.until(id + " ends", () -> host.hasEnded(id, TestSubmissions.KEY));
  }

  private static boolean exists(EntryHost host, String id) throws Exception {
    return host.submission(id, TestSubmissions.KEY).status() == 200;
  }

  private static long revisionOf(EntryHost host, String path) throws Exception {
    return host.configuration("ops").items().stream()
        .filter(item -> item.path().equals(path))
        .mapToLong(EntryHost.ItemView::revision)
        .findFirst()
        .orElse(0);
  }

  private static ReleaseNote note(String id, Change change) {
    return new ReleaseNote(id, "ops", List.of(change));
  }

  private static ConfigItem.Team team(String name, int share) {
    return new ConfigItem.Team(name, share, 10, false);
  }
}
