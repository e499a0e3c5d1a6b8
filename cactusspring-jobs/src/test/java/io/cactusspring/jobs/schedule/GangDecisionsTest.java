package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that the log tells which failures of a gang were counted, as docs/EVENTS.md says. */
final class GangDecisionsTest extends GangFixture {
  GangDecisionsTest() {
    super(2);
  }

  /** Guards against a report of failed jobs that cannot be traced to runs. */
  @Test
  void lineOfAFailedRunTellsWhetherItCounts() {
    submit();
    startRun();
    fail("x0", "x1");
    String first = decisions().get(0);
    assertThat(first).startsWith("RUN_FAILED j1.0.0.");
    assertThat(first)
        .endsWith(
            "#1 failure 1 of 2 on x0; failures 1, last counted run 1, last run 1, tasks with a run"
                + " 4");
    assertThat(decisions().get(1))
        .endsWith(
            "#1 counted for another member, failure 1 of 2 on x1; failures 1, last counted run 1,"
                + " last run 1, tasks with a run 3");
  }

  @Test
  void lineOfARunOfAnEarlierOwnerSaysSo() {
    submit();
    startRun();
    takeOver();
    fail("x2");
    assertThat(decisions()).hasSize(1);
    assertThat(decisions().get(0)).contains("failure 1 of 2 on x2, started by an earlier owner;");
  }

  /** Guards against a count of two owners that the log does not show. */
  @Test
  void newOwnerTellsTheFailuresThatAreStored() {
    submit();
    startRun();
    takeOver();
    assertThat(decisions()).isEmpty();
    fail("x0");
    store();
    decisions().clear();
    takeOver();
    assertThat(decisions())
        .containsExactly(
            "FAILURES_RESTORED j1.0.0 failures 1, last counted run 1, last run 1, tasks with a run"
                + " 3");
  }
}
