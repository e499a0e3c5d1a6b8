package io.cactusspring.core.budget;

import io.cactusspring.core.model.BudgetAccount;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Decides how much unused budget moves to accounts whose budget does not cover their demand.
 *
 * <p>An account moves half of its unused budget, rounded up, divided among the accounts with demand
 * into parts of at least one unit. An entry host's own account keeps its last unit of a team whose
 * limit is large. Otherwise, after batch work has taken all other units, the next request would
 * have to wait for a budget move.
 *
 * <pre>{@code
 * List<BudgetMove> moves =
 *     new BudgetMovePolicy(team.maxRunning(), accounts).moves(usages, demands);
 * }</pre>
 *
 * @since 0.1
 */
public final class BudgetMovePolicy {
  /** A limit of at least this many units per account counts as large. */
  private static final int LARGE_LIMIT_PER_ACCOUNT = 8;

  private final int hostReserve;

  /**
   * Creates the policy for one team.
   *
   * @param maxRunning the team's upper limit
   * @param accounts number of accounts that share the limit
   */
  public BudgetMovePolicy(int maxRunning, int accounts) {
    this.hostReserve = maxRunning >= LARGE_LIMIT_PER_ACCOUNT * accounts ? 1 : 0;
  }

  /**
   * Returns the budget moves to make.
   *
   * @param ownAccounts accounts of this entry host
   * @param remoteDemands demand of other entry hosts' accounts
   */
  public List<BudgetMove> moves(List<AccountUsage> ownAccounts, List<Demand> remoteDemands) {
    Stream<Demand> here =
        ownAccounts.stream()
            .filter(u -> u.shortfall() > 0)
            .map(u -> new Demand(u.account(), u.shortfall()));
    List<Demand> demands =
        Stream.concat(here, remoteDemands.stream())
            .sorted(Comparator.comparingInt(Demand::units).reversed())
            .toList();
    return ownAccounts.stream().flatMap(u -> moves(u, demands).stream()).toList();
  }

  private List<BudgetMove> moves(AccountUsage source, List<Demand> demands) {
    List<Demand> others =
        demands.stream().filter(d -> !d.account().equals(source.account())).toList();
    int left = (movable(source) + 1) / 2;
    int each = others.isEmpty() ? 0 : Math.max(1, left / others.size());
    List<BudgetMove> moves = new ArrayList<>();
    for (Demand d : others) {
      int units = Math.min(Math.min(each, d.units()), left);
      if (units > 0) {
        moves.add(new BudgetMove(source.account(), d.account(), units));
        left -= units;
      }
    }
    return moves;
  }

  private int movable(AccountUsage usage) {
    int kept = isHostAccount(usage.account()) ? hostReserve : 0;
    return Math.max(0, usage.unused() - Math.max(0, kept - usage.running()));
  }

  private static boolean isHostAccount(BudgetAccount account) {
    return account.shard().isEmpty();
  }
}
