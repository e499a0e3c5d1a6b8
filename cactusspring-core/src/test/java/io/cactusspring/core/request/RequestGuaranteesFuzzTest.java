package io.cactusspring.core.request;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * Stateful fuzz test of the guarantees to callers. Each guarantee has a mutation that violates it
 * and that the test must detect.
 */
class RequestGuaranteesFuzzTest {
  private static final int HISTORIES = 400;
  private static final int LENGTH = 150;

  @Property(tries = 1_000, seed = "20251204")
  void guaranteesHoldInEveryHistory(@ForAll("histories") List<Step> history) {
    new RouterSimulation(RequestRules.standard()).run(history);
  }

  @Example
  void guaranteesHoldInTheHistoriesThatDetectMutations() {
    for (long seed = 0; seed < HISTORIES; seed++) {
      new RouterSimulation(RequestRules.standard()).run(Step.history(seed, LENGTH));
    }
  }

  @Example
  void resendingNonIdempotentRequestThatMayHaveRunIsDetected() {
    assertDetected(
        "ran twice",
        new StandardRules() {
          @Override
          public boolean mayResend(boolean idempotent, AttemptOutcome outcome) {
            return !(outcome instanceof AttemptOutcome.Answered);
          }
        });
  }

  @Example
  void reportingFailedAttemptAsNotRunIsDetected() {
    assertDetected(
        "was reported as not run but ran",
        new StandardRules() {
          @Override
          public boolean mayHaveRun(AttemptOutcome outcome) {
            return false;
          }
        });
  }

  @Example
  void acceptingReportOfEarlierAttemptIsDetected() {
    assertDetected(
        "got the answer of",
        new StandardRules() {
          @Override
          public boolean isCurrent(int reportedAttempt, int currentAttempt) {
            return true;
          }
        });
  }

  @Example
  void acceptingAnswerToAnotherRequestIsDetected() {
    assertDetected(
        "got the answer of",
        new StandardRules() {
          @Override
          public boolean matchesRequestId(String requestId, String echoedId) {
            return true;
          }
        });
  }

  @Example
  void sendingToLeavingEndpointIsDetected() {
    assertDetected(
        "new work for leaving",
        new StandardRules() {
          @Override
          public boolean acceptsWork(EndpointShare endpoint) {
            return true;
          }
        });
  }

  @Example
  void sendingWithoutUnitIsDetected() {
    assertDetected(
        "above its limit",
        new StandardRules() {
          @Override
          public boolean maySendWithoutUnit() {
            return true;
          }
        });
  }

  @Example
  void shuttingDownWithoutDrainingIsDetected() {
    Violation v =
        assertThrows(
            Violation.class,
            () ->
                new RouterSimulation(RequestRules.standard())
                    .runWithoutDraining(Step.history(1, LENGTH)));
    assertThat(v).hasMessageThat().contains("cut off without an answer");
  }

  @Provide
  Arbitrary<List<Step>> histories() {
    Arbitrary<Integer> number = Arbitraries.integers().between(0, 999);
    Arbitrary<Step.Kind> kind =
        Arbitraries.frequencyOf(
            Tuple.of(1, Arbitraries.of(Step.Kind.OFFER)),
            Tuple.of(1, Arbitraries.of(Step.Kind.class)));
    return Combinators.combine(kind, number, number).as(Step::new).list().ofMaxSize(200);
  }

  private static void assertDetected(String violation, RequestRules mutation) {
    for (long seed = 0; seed < HISTORIES; seed++) {
      RouterSimulation simulation = new RouterSimulation(mutation);
      List<Step> history = Step.history(seed, LENGTH);
      try {
        simulation.run(history);
      } catch (Violation v) {
        assertThat(v).hasMessageThat().contains(violation);
        return;
      }
    }
    fail("no history detected the mutation");
  }
}
