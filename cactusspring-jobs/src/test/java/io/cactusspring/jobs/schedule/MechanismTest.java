package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.jobs.schedule.Mechanism.UnknownMechanismException;
import org.junit.jupiter.api.Test;

/** Tests the names by which parts of the policy are switched off. */
final class MechanismTest {
  @Test
  void listOfNamesIsParsed() throws UnknownMechanismException {
    assertThat(Mechanism.parseAll("shortage-order, fairness"))
        .containsExactly(Mechanism.SHORTAGE_ORDER, Mechanism.FAIRNESS);
    assertThat(Mechanism.parseAll("")).isEmpty();
  }

  @Test
  void unknownNameIsAnErrorThatListsTheKnownOnes() {
    UnknownMechanismException e =
        assertThrows(UnknownMechanismException.class, () -> Mechanism.parseAll("fairness,magic"));
    assertThat(e).hasMessageThat().contains("unknown mechanism \"magic\"");
    assertThat(e).hasMessageThat().contains("shortage-order, deferral");
  }

  @Test
  void emptyNameBetweenCommasIsAnError() {
    assertThrows(UnknownMechanismException.class, () -> Mechanism.parseAll("fairness,,deferral"));
  }
}
