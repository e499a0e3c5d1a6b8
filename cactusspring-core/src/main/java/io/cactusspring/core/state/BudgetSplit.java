package io.cactusspring.core.state;

import io.cactusspring.core.model.BudgetAccount;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/** The rule by which a team's upper limit is split among accounts. */
final class BudgetSplit {
  private BudgetSplit() {}

  /**
   * Adjusts a split to other accounts or another limit. Parts of removed accounts and an increase
   * of the limit are spread evenly over all accounts; a decrease shrinks all parts in proportion.
   * New accounts get nothing else until a part is moved to them, except in the first split.
   *
   * @param before null for a new team
   * @return parts that sum to {@code limit}; empty if there is no account
   */
  static TreeMap<BudgetAccount, Integer> adjust(
      TreeMap<BudgetAccount, Integer> before, List<BudgetAccount> accounts, int limit) {
    TreeMap<BudgetAccount, Integer> parts = new TreeMap<>();
    accounts.forEach(a -> parts.put(a, before == null ? 0 : before.getOrDefault(a, 0)));
    if (parts.isEmpty()) {
      return parts;
    }
    int held = before == null ? 0 : sum(before);
    spread(parts, held - sum(parts));
    if (limit >= held) {
      spread(parts, limit - held);
    } else {
      shrink(parts, held, limit);
    }
    return parts;
  }

  private static int sum(TreeMap<BudgetAccount, Integer> parts) {
    return parts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Adds an amount evenly; the accounts with the smallest parts get the remainder, in order. */
  private static void spread(TreeMap<BudgetAccount, Integer> parts, int amount) {
    int each = amount / parts.size();
    int remainder = amount % parts.size();
    List<BudgetAccount> favoured =
        parts.keySet().stream()
            .sorted(Comparator.<BudgetAccount>comparingInt(parts::get).thenComparing(a -> a))
            .limit(remainder)
            .toList();
    parts.replaceAll((a, part) -> part + each);
    favoured.forEach(a -> parts.merge(a, 1, Integer::sum));
  }

  /**
   * Scales parts from a sum of {@code held} to {@code limit}; largest fractions get the remainder.
   */
  private static void shrink(TreeMap<BudgetAccount, Integer> parts, int held, int limit) {
    TreeMap<BudgetAccount, Long> fractions = new TreeMap<>();
    parts.forEach((a, part) -> fractions.put(a, (long) part * limit % held));
    parts.replaceAll((a, part) -> (int) ((long) part * limit / held));
    fractions.keySet().stream()
        .sorted(
            Comparator.<BudgetAccount>comparingLong(a -> -fractions.get(a)).thenComparing(a -> a))
        .limit(limit - sum(parts))
        .toList()
        .forEach(a -> parts.merge(a, 1, Integer::sum));
  }
}
