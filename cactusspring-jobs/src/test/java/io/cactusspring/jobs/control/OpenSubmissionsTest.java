package io.cactusspring.jobs.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which submissions must not be reported as not stored. */
final class OpenSubmissionsTest {
  private static final long RETENTION_MILLIS = 180_000;

  private final OpenSubmissions submissions = new OpenSubmissions();

  @Test
  void onlyRequestForAJobIsNotInDoubt() {
    submissions.begin("j");
    assertThat(submissions.mayBeStored("j", 0)).isFalse();
  }

  /** A caller sends a second request before the first one is answered. */
  @Test
  void jobWithAnotherOpenRequestMayBeStored() {
    submissions.begin("j");
    submissions.begin("j");
    assertThat(submissions.mayBeStored("j", 0)).isTrue();
    submissions.end("j");
    assertThat(submissions.mayBeStored("j", 0)).isFalse();
  }

  /** An append to the inbox got no answer and may be carried out seconds later. */
  @Test
  void jobInDoubtMayBeStoredAsLongAsTheOwnerWouldRememberIt() {
    submissions.putInDoubt("j", 0);
    submissions.begin("j");
    assertThat(submissions.mayBeStored("j", RETENTION_MILLIS - 1)).isTrue();
    assertThat(submissions.mayBeStored("j", RETENTION_MILLIS)).isFalse();
    assertThat(submissions.mayBeStored("other", 0)).isFalse();
  }

  /** 20,000 jobs are put into the inbox within a second; the memory for them is bounded. */
  @Test
  void everyJobIsInDoubtWhenTooManyAre() {
    for (int i = 0; i < 20_000; i++) {
      submissions.putInDoubt("j" + i, i / 20);
    }
    assertThat(submissions.mayBeStored("j0", 1_000)).isTrue();
    assertThat(submissions.mayBeStored("other", 1_000)).isTrue();
    assertThat(submissions.mayBeStored("other", 1_000 + RETENTION_MILLIS)).isFalse();
  }
}
