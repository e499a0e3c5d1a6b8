package io.cactusspring.core.fuzz;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import net.jqwik.api.Example;

/**
 * Checks the invariants of the core under injected faults. Each mutation switches one guard off and
 * must lead to a violation.
 */
class FuzzTest {
  private static final long SEED = 1;
  private static final int TRIES = 100;
  private static final int MUTANT_TRIES = 400;

  @Example
  void invariantsHoldUnderFaults() {
    Optional<Fuzzer.Failure> failure = new Fuzzer(SEED, Guard.all()).run(TRIES);
    assertWithMessage("%s", failure.map(Object::toString).orElse("")).that(failure).isEmpty();
  }

  @Example
  void mutationOwnerNeedsNoAuthorityIsDetected() {
    assertDetected(Guard.AUTHORITY);
  }

  @Example
  void mutationWorkerIgnoresEpochsIsDetected() {
    assertDetected(Guard.WORKER_EPOCH);
  }

  @Example
  void mutationNewOwnerDoesNotWaitIsDetected() {
    assertDetected(Guard.TAKEOVER_WAIT);
  }

  @Example
  void mutationStartBeforeItsRecordIsDetected() {
    assertDetected(Guard.RECORD_BEFORE_START);
  }

  @Example
  void mutationBudgetIsNotKeptIsDetected() {
    assertDetected(Guard.BUDGET);
  }

  @Example
  void mutationRefusalWithoutVoidRecordIsDetected() {
    assertDetected(Guard.VOID_RECORD);
  }

  @Example
  void mutationCommitmentsAreNotCountedIsDetected() {
    assertDetected(Guard.CAPACITY);
  }

  @Example
  void mutationNotesIgnoreWhatPrecedesThemIsDetected() {
    assertDetected(Guard.NOTE_ORDER);
  }

  @Example
  void mutationGangStartsInPartIsDetected() {
    assertDetected(Guard.GANG);
  }

  private static void assertDetected(Guard off) {
    Optional<String> violation = new Fuzzer(SEED, Guard.without(off)).firstViolation(MUTANT_TRIES);
    assertWithMessage("violations without %s", off).that(violation).isPresent();
  }
}
