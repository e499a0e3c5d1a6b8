package io.cactusspring.cli;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.cli.FakeEntryHost.Received;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerCommandsTest {
  private static final String REQUEST = "POST /v1/services/ordering/requests";
  private static final String SUBMIT = "POST /v1/submissions";
  private static final String GET_SUBMISSION = "GET /v1/submissions/b1";
  private static final String UNREACHABLE_HOST = "http://127.0.0.1:1";

  private final FakeEntryHost host = new FakeEntryHost();
  private final FakeEntryHost second = new FakeEntryHost();
  private final CliRunner tool = new CliRunner().with("CACTUSSPRING_KEY", "shop.secret");

  @AfterEach
  void closeHosts() {
    host.close();
    second.close();
  }

  @Test
  void responseBodyIsPrintedUnchanged() {
    host.on(REQUEST, 200, "12 clippers");
    ExitCode code = tool.run("request", "ordering", "--body", "clippers?", "--host", host.url());
    assertThat(code).isEqualTo(ExitCode.OK);
    assertThat(tool.out()).isEqualTo("12 clippers" + System.lineSeparator());
    Received r = host.received().getFirst();
    assertThat(r.body()).isEqualTo("clippers?");
    assertThat(r.headers()).containsEntry("authorization", "Bearer shop.secret");
    assertThat(r.headers()).containsEntry("x-idempotent", "false");
  }

  @Test
  void bodyIsReadFromStandardInput() {
    host.on(REQUEST, 200, "ok");
    tool.run("request", "ordering", "--body-file", "-", "--host", host.url());
    assertThat(host.received().getFirst().body()).isEqualTo("from input");
  }

  @Test
  void nextHostIsTriedWhenTheFirstCannotBeReached() {
    host.on(REQUEST, 200, "ok");
    assertThat(tool.run("request", "ordering", "--host", UNREACHABLE_HOST, "--host", host.url()))
        .isEqualTo(ExitCode.OK);
  }

  @Test
  void noHostReachedIsUnreachable() {
    assertThat(tool.run("request", "ordering", "--host", UNREACHABLE_HOST))
        .isEqualTo(ExitCode.UNREACHABLE);
  }

  @Test
  void requestThatMayHaveRunIsNotSentToAnotherHost() {
    host.closeConnectionOn(REQUEST);
    second.on(REQUEST, 200, "ok");
    assertThat(tool.run("request", "ordering", "--host", host.url(), "--host", second.url()))
        .isEqualTo(ExitCode.OUTCOME_UNKNOWN);
    assertThat(second.received()).isEmpty();
  }

  @Test
  void idempotentRequestIsResentToTheNextHostWithTheSameId() {
    host.closeConnectionOn(REQUEST);
    second.on(REQUEST, 200, "ok");
    ExitCode code =
        tool.run(
            "request", "ordering", "--idempotent", "--host", host.url(), "--host", second.url());
    assertThat(code).isEqualTo(ExitCode.OK);
    assertThat(second.received().getFirst().headers().get("x-request-id"))
        .isEqualTo(host.received().getFirst().headers().get("x-request-id"));
  }

  @Test
  void drainingHostIsSkipped() {
    host.on(REQUEST, 503, "{\"reason\":\"draining\",\"ran\":\"NO\"}");
    second.on(REQUEST, 200, "ok");
    assertThat(tool.run("request", "ordering", "--host", host.url(), "--host", second.url()))
        .isEqualTo(ExitCode.OK);
  }

  @Test
  void exitCodeOfARefusalDependsOnStatusAndRanField() {
    assertThat(codeOf(401, "unknown-key", "NO")).isEqualTo(ExitCode.REFUSED);
    assertThat(codeOf(429, "over-limit", "NO")).isEqualTo(ExitCode.NOT_RUN);
    assertThat(codeOf(504, "deadline", "NO")).isEqualTo(ExitCode.NOT_RUN);
    assertThat(codeOf(504, "deadline", "UNKNOWN")).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
    assertThat(codeOf(502, "endpoint-failed", "UNKNOWN")).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
  }

  private ExitCode codeOf(int status, String reason, String ran) {
    String body = "{\"reason\":\"%s\",\"message\":\"m\",\"ran\":\"%s\",\"retryAfterMillis\":250}";
    try (FakeEntryHost h = new FakeEntryHost()) {
      h.on(REQUEST, status, body.formatted(reason, ran));
      return tool.run("request", "ordering", "--host", h.url());
    }
  }

  @Test
  void errorWithoutARefusalBodyIsAnUnknownOutcome() {
    host.on(REQUEST, 502, "<html>bad gateway</html>");
    assertThat(tool.run("request", "ordering", "--host", host.url()))
        .isEqualTo(ExitCode.OUTCOME_UNKNOWN);
  }

  @Test
  void submissionWithoutAResponseIsResentWithTheSameId() {
    host.closeConnectionOn(SUBMIT);
    second.on(SUBMIT, 202, "{\"id\":\"b1\",\"accepted\":true,\"home\":\"riga-a/0\"}");
    assertThat(tool.run("submit", "--host", host.url(), "--host", second.url()))
        .isEqualTo(ExitCode.OK);
    assertThat(second.received().getFirst().body()).isEqualTo(host.received().getFirst().body());
    assertThat(tool.out()).contains("accepted b1 at riga-a/0");
  }

  @Test
  void submissionWithUnknownOutcomePrintsTheCommandThatQueriesIt() {
    host.closeConnectionOn(SUBMIT);
    assertThat(tool.run("submit", "--id", "b1", "--host", host.url()))
        .isEqualTo(ExitCode.OUTCOME_UNKNOWN);
    assertThat(tool.err()).contains("query it with: cactusspring outcome b1");
  }

  @Test
  void exitCodeFollowsFromTheOutcomesOfTheRuns() {
    assertThat(outcomeOf("\"SUCCEEDED\":3")).isEqualTo(ExitCode.OK);
    assertThat(outcomeOf("\"SUCCEEDED\":2,\"RUNNING\":1")).isEqualTo(ExitCode.NOT_FINISHED);
    assertThat(outcomeOf("\"SUCCEEDED\":2,\"FAILED\":1")).isEqualTo(ExitCode.FAILED);
    assertThat(outcomeOf("\"FAILED\":2,\"UNKNOWN\":1")).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
    assertThat(outcomeOf("\"INFEASIBLE\":1")).isEqualTo(ExitCode.NOT_RUN);
  }

  private ExitCode outcomeOf(String counts) {
    try (FakeEntryHost h = new FakeEntryHost()) {
      h.on(GET_SUBMISSION, 200, status(counts));
      return tool.run("outcome", "b1", "--host", h.url());
    }
  }

  @Test
  void watchContinuesAfterAFailedCallAndPrintsNoProgressWithoutATerminal() {
    host.on(GET_SUBMISSION, 200, status("\"RUNNING\":1")).closeConnectionOn(GET_SUBMISSION);
    host.on(GET_SUBMISSION, 200, status("\"SUCCEEDED\":1"));
    assertThat(tool.run("watch", "b1", "--interval", "10", "--host", host.url()))
        .isEqualTo(ExitCode.OK);
    assertThat(tool.err()).isEmpty();
    assertThat(tool.out()).contains("b1 of counter: 1 of 1 ended (SUCCEEDED 1)");
  }

  @Test
  void watchShowsProgressOnATerminal() {
    host.on(GET_SUBMISSION, 200, status("\"RUNNING\":1"))
        .on(GET_SUBMISSION, 200, status("\"SUCCEEDED\":1"));
    tool.onTerminal().run("watch", "b1", "--interval", "10", "--host", host.url());
    assertThat(tool.err()).contains("0 of 1 ended (RUNNING 1)");
  }

  @Test
  void watchThatTimesOutIsNotFinished() {
    host.on(GET_SUBMISSION, 200, status("\"PENDING\":1"));
    assertThat(tool.run("watch", "b1", "--timeout", "0", "--host", host.url()))
        .isEqualTo(ExitCode.NOT_FINISHED);
    assertThat(tool.out()).contains("waits: team counter is at its limit");
  }

  @Test
  void explainOfARunFetchesItsSubmission() {
    host.on(GET_SUBMISSION, 200, status("\"PENDING\":1"));
    assertThat(tool.run("explain", "b1#0", "--host", host.url())).isEqualTo(ExitCode.OK);
    assertThat(tool.out()).contains("b1#0: team counter is at its limit");
  }

  @Test
  void explainQueriesTheOtherHostsWhenTheFirstReportsNoReason() {
    host.on(
        GET_SUBMISSION, 200, status("\"PENDING\":1").replace("team counter is at its limit", ""));
    second.on(GET_SUBMISSION, 200, status("\"PENDING\":1"));
    tool.run("explain", "b1", "--host", host.url(), "--host", second.url());
    assertThat(tool.out()).contains("b1: team counter is at its limit");
  }

  @Test
  void explainNamesThePlacingHostWhenNoHostReportsAReason() {
    host.on(
        GET_SUBMISSION, 200, status("\"PENDING\":2").replace("team counter is at its limit", ""));
    tool.run("explain", "b1", "--host", host.url());
    assertThat(tool.out())
        .contains("b1: 2 runs are waiting; query the entry host that places them: riga-c-1");
  }

  @Test
  void idOfADifferentSubmissionIsRefused() {
    host.on(SUBMIT, 409, "{\"reason\":\"submission-conflict\",\"ran\":\"NO\"}");
    assertThat(tool.run("submit", "--id", "b1", "--host", host.url())).isEqualTo(ExitCode.REFUSED);
  }

  private static String status(String counts) {
    return "{\"id\":\"b1\",\"team\":\"counter\",\"counts\":{"
        + counts
        + "},\"runs\":[],"
        + "\"waiting\":\"team counter is at its limit\",\"placedBy\":\"riga-c-1\"}";
  }
}
