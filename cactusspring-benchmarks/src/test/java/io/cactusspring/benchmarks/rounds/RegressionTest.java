package io.cactusspring.benchmarks.rounds;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which days of a regression run are compared, and with which earlier play. */
final class RegressionTest {
  private static JournalEntry score(double worth, String... arguments) {
    return new JournalEntry(
        "entry.json", "site", "score", List.of(arguments), Map.of("trouble-1", worth));
  }

  private static Regression.Change only(JournalEntry before, JournalEntry after) {
    List<Regression.Change> changes = Regression.changes(List.of(before), List.of(after));
    assertThat(changes).hasSize(1);
    return changes.get(0);
  }

  /** Guards against a lost day that passes unnoticed. */
  @Test
  void dayThatFellByTheNoiseOrMoreIsReported() {
    assertThat(only(score(0.70), score(0.66)).isRegression()).isTrue();
    assertThat(only(score(0.70), score(0.68)).isRegression()).isFalse();
  }

  /** Guards against a comparison with an old play, which hides what the last change has lost. */
  @Test
  void newestEarlierPlayCounts() {
    List<Regression.Change> changes =
        Regression.changes(List.of(score(0.4), score(0.7)), List.of(score(0.6)));
    assertThat(changes).containsExactly(new Regression.Change("site", "trouble-1", 0.7, 0.6));
  }

  /** Guards against comparing plays that are easier or different days. */
  @Test
  void playsWithoutProcessorTimeOrWithOtherSeedsAreLeftOut() {
    List<JournalEntry> before = List.of(score(0.7), score(0.9, "--no-cpu"), score(0.1, "--seed"));
    assertThat(Regression.changes(before, List.of(score(0.7))).get(0).before()).isEqualTo(0.7);
    assertThat(Regression.changes(before, List.of(score(0.7, "--no-cpu")))).isEmpty();
  }
}
