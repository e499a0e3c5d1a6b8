package io.cactusspring.core.state;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord.BudgetMoved;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The split of every team's upper limit; the parts of a team always sum to its limit. */
class Budgets {
  static final int MAX_MOVE_IDS = 8_192;

  private final TreeMap<String, TreeMap<BudgetAccount, Integer>> splits = new TreeMap<>();
  private final BoundedHistory<Boolean> moves = new BoundedHistory<>(MAX_MOVE_IDS);

  int of(String team, BudgetAccount account) {
    Map<BudgetAccount, Integer> split = splits.get(team);
    return split == null ? 0 : split.getOrDefault(account, 0);
  }

  Map<String, TreeMap<BudgetAccount, Integer>> splits() {
    return splits;
  }

  BoundedHistory<Boolean> moves() {
    return moves;
  }

  /** Adjusts the splits to a configuration; returns the teams whose split changed. */
  List<String> reconcile(Configuration configuration) {
    splits.keySet().removeIf(t -> configuration.team(t).isEmpty());
    List<BudgetAccount> accounts = configuration.accounts();
    List<String> changed = new ArrayList<>();
    for (ConfigItem.Team t : configuration.teams()) {
      TreeMap<BudgetAccount, Integer> before = splits.get(t.name());
      TreeMap<BudgetAccount, Integer> after = BudgetSplit.adjust(before, accounts, t.maxRunning());
      if (!after.equals(before)) {
        splits.put(t.name(), after);
        changed.add(t.name());
      }
    }
    return changed;
  }

  /** Moves a part unless the record is void; returns whether it moved. */
  boolean move(BudgetMoved m, Configuration configuration) {
    if (!isNew(m)) {
      return false;
    }
    moves.put(m.id(), true);
    TreeMap<BudgetAccount, Integer> split = splits.get(m.team());
    boolean isCurrent = configuration.revisionOf("team/" + m.team()) == m.limitRevision();
    if (split == null || !isCurrent || !split.containsKey(m.from()) || !split.containsKey(m.to())) {
      return false;
    }
    if (m.from().equals(m.to()) || !holdsEnough(split.get(m.from()), m)) {
      return false;
    }
    split.merge(m.from(), -m.amount(), Integer::sum);
    split.merge(m.to(), m.amount(), Integer::sum);
    return true;
  }

  boolean isNew(BudgetMoved m) {
    return !moves.contains(m.id());
  }

  boolean holdsEnough(int held, BudgetMoved m) {
    return held >= m.amount();
  }
}
