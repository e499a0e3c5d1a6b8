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

class LogOutageTest {
  private static final int ACCEPTED = 202;
  private static final int TASKS = 3;
  private static final long TASK_MILLIS = 200;
  private static final long ANSWER_SECONDS = 60;

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
  void submissionAcrossARefusingOutageIsRefusedTruthfullyOrAcceptedOnce() throws Exception {
    assertTruthfulAcross("refuse", Work.once("across-refuse", TASKS, TASK_MILLIS));
  }

  @Test
  void submissionAcrossASilentOutageIsRefusedTruthfullyOrAcceptedOnce() throws Exception {
    assertTruthfulAcross("silent", Work.once("across-silent", TASKS, TASK_MILLIS));
  }

  @Test
  void requestsGoOnWhileTheLogIsOut() throws Exception {
    cell.switchLog("{\"outage\":\"refuse\"}");
    try {
      RequestLoad load = RequestLoad.start("out", cell.entryHosts(), true, 2);
      load.awaitGood(50, cell.entryHosts());
      RequestChecks.assertTrue(load.stop(), cell.executions());
    } finally {
      cell.switchLog("{\"outage\":\"none\"}");
    }
  }

  @Test
  void submissionWhoseAppendLosesItsAnswerRunsOnce() throws Exception {
    Submission submission = Work.once("lost-answer", TASKS, TASK_MILLIS);
    cell.switchLog("{\"loseNextAnswers\":1}");
    Http.Answer answer = cell.entryHosts().get(0).submit(submission, Work.KEY);
    assertTruthful(submission, answer);
  }

  @Test
  void noteWhoseAppendLosesItsAnswerIsAppliedOnceAndRevertsNothing() throws Exception {
    EntryHost first = cell.entryHosts().get(0);
    EntryHost second = cell.entryHosts().get(1);
    cell.switchLog("{\"loseNextAnswers\":1}");
    Http.Answer added = first.apply(note("add-temp", new Change.Add(team("temp", 1))), "ops");
    assertWithMessage("note whose answer was lost: " + added).that(added.status()).isEqualTo(200);
    Await.until("known at the other host", () -> revisionOf(second, "team/temp") > 0);
    long revision = revisionOf(second, "team/temp");
    Http.Answer changed =
        second.apply(note("change-temp", new Change.Replace(team("temp", 2), revision)), "ops");
    assertWithMessage("newer note: " + changed).that(changed.status()).isEqualTo(200);
    long newer = revisionOf(second, "team/temp");
    assertThat(newer).isGreaterThan(revision);
    Http.Answer again = first.apply(note("add-temp", new Change.Add(team("temp", 1))), "ops");
    Await.until("newer revision at the first", () -> revisionOf(first, "team/temp") >= newer);
    assertWithMessage("after the first note came again: " + again)
        .that(revisionOf(first, "team/temp"))
        .isEqualTo(newer);
  }

  private static void assertTruthfulAcross(String outage, Submission submission) throws Exception {
    EntryHost host = cell.entryHosts().get(0);
    cell.switchLog("{\"outage\":\"" + outage + "\"}");
    CompletableFuture<Http.Answer> answer = new CompletableFuture<>();
    Thread.ofVirtual().start(() -> complete(answer, host, submission));
    try {
      RequestLoad load = RequestLoad.start("a-" + submission.id(), List.of(host), true, 1);
      load.awaitGood(20, List.of(host));
      load.stop();
    } finally {
      cell.switchLog("{\"outage\":\"none\"}");
    }
    assertTruthful(submission, answer.get(ANSWER_SECONDS, TimeUnit.SECONDS));
  }

  private static void complete(
      CompletableFuture<Http.Answer> answer, EntryHost host, Submission submission) {
    try {
      answer.complete(host.submit(submission, Work.KEY));
    } catch (Exception e) {
      answer.completeExceptionally(e);
    }
  }

  /** Asserts that the answer agrees with what the workers saw once all is settled. */
  private static void assertTruthful(Submission submission, Http.Answer answer) throws Exception {
    EntryHost other = cell.entryHosts().get(1);
    String id = submission.id();
    boolean unknown = answer.body().contains("\"ran\":\"UNKNOWN\"");
    boolean refused = answer.body().contains("\"ran\":\"NO\"");
    assertWithMessage("answer to " + id + ": " + answer)
        .that(answer.status() == ACCEPTED || unknown || refused)
        .isTrue();
    settle(other);
    if (answer.status() == ACCEPTED || (unknown && isKnown(other, id))) {
      Await.until(id + " ends", () -> other.hasEnded(id, Work.KEY));
      cell.workerHistory().assertStartedOnce(id, submission.tasks());
    } else {
      assertWithMessage("starts of " + id + " after " + answer)
          .that(cell.workerHistory().startsOf(id))
          .isEqualTo(0);
    }
    cell.workerHistory().assertSafe();
  }

  /** Waits until a later submission has run whole, so that earlier records have been read. */
  private static void settle(EntryHost host) throws Exception {
    String id = "settle-" + System.nanoTime();
    Await.until(
        "the log takes a submission",
        () -> host.submit(Work.idempotent(id, 1, 1), Work.KEY).status() == ACCEPTED);
    Await.until(id + " ends", () -> host.hasEnded(id, Work.KEY));
  }

  private static boolean isKnown(EntryHost host, String id) throws Exception {
    return host.submission(id, Work.KEY).status() == 200;
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
