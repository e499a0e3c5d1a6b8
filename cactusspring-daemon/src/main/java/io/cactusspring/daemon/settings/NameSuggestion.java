package io.cactusspring.daemon.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Suggests a known name in place of an unknown one that is probably a misspelling of it. */
final class NameSuggestion {
  private static final int MAX_EDITS = 3;

  private NameSuggestion() {}

  static Optional<String> closest(String unknown, Collection<String> known) {
    return known.stream()
        .filter(k -> caseInsensitiveDistance(unknown, k) <= Math.min(MAX_EDITS, k.length() / 2))
        .min(Comparator.comparingInt(k -> caseInsensitiveDistance(unknown, k)));
  }

  private static int caseInsensitiveDistance(String a, String b) {
    return editDistance(a.toLowerCase(Locale.ROOT), b.toLowerCase(Locale.ROOT));
  }

  /** Levenshtein distance, computed with a single row of the table. */
  private static int editDistance(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int replaced = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        diagonal = row[j];
        row[j] = Math.min(replaced, 1 + Math.min(row[j], row[j - 1]));
      }
    }
    return row[b.length()];
  }
}
