package io.cactusspring.core.fuzz;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import net.jqwik.api.Example;

/** Holds the core to its invariants under faults; each guard switched off has to be noticed. */
class FuzzTest {
  private static final long SEED = 1;
  private static final int TRIES = 100;
  private static final int MUTANT_TRIES = 400;

  @Example
  void invariantsHoldUnderFaults() {
    Optional<Fuzz.Failure> failure = new Fuzz(SEED, Guards.all()).run(TRIES);
    assertWithMessage("%s", failure.map(Object::toString).orElse("")).that(failure).isEmpty();
  }

  @Example
  void mutationOwnerNeedsNoAuthorityIsNoticed() {
    assertNoticed(Guards.AUTHORITY);
  }

  @Example
  void mutationWorkerIgnoresEpochsIsNoticed() {
    assertNoticed(Guards.WORKER_EPOCH);
  }

  @Example
  void mutationNewOwnerDoesNotWaitIsNoticed() {
    assertNoticed(Guards.TAKEOVER_WAIT);
  }

  @Example
  void mutationStartBeforeItsRecordIsNoticed() {
    assertNoticed(Guards.RECORD_BEFORE_START);
  }

  @Example
  void mutationBudgetIsNotKeptIsNoticed() {
    assertNoticed(Guards.BUDGET);
  }

  @Example
  void mutationRefusalWithoutVoidRecordIsNoticed() {
    assertNoticed(Guards.VOID_RECORD);
  }

  @Example
  void mutationCommitmentsAreNotCountedIsNoticed() {
    assertNoticed(Guards.CAPACITY);
  }

  @Example
  void mutationNotesIgnoreWhatPrecedesThemIsNoticed() {
    assertNoticed(Guards.NOTE_ORDER);
  }

  @Example
  void mutationGangStartsInPartIsNoticed() {
    assertNoticed(Guards.GANG);
  }

  private static void assertNoticed(Guards off) {
    Optional<String> violation = new Fuzz(SEED, Guards.without(off)).firstViolation(MUTANT_TRIES);
    assertWithMessage("violations without %s", off).that(violation).isPresent();
  }
}
