package io.cactusspring.core.budget;

import io.cactusspring.core.model.BudgetAccount;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Decides how much unused budget moves to accounts whose budget does not cover their demand.
 *
 * <p>An account moves half of its unused budget, rounded up, divided among the accounts with
 * demand. An entry host's own account keeps its last unit of a team whose limit is large.
 * Otherwise, after batch work has taken all other units, the next request would have to wait for a
 * budget move.
 *
 * <pre>{@code
 * List<Gift> gifts = new GivingPolicy(team.maxRunning(), accounts).gifts(holdings, demands);
 * }</pre>
 *
 * @since 0.1
 */
public final class GivingPolicy {
  /** A limit of at least this many units per account counts as large. */
  private static final int LARGE_LIMIT_PER_ACCOUNT = 8;

  private final int hostReserve;

  /**
   * Creates the policy for one team.
   *
   * @param maxRunning the team's upper limit
   * @param accounts number of accounts that share the limit
   */
  public GivingPolicy(int maxRunning, int accounts) {
    this.hostReserve = maxRunning >= LARGE_LIMIT_PER_ACCOUNT * accounts ? 1 : 0;
  }

  /**
   * Returns the budget moves to make.
   *
   * @param ownAccounts accounts of this entry host
   * @param remoteDemands demand of other entry hosts' accounts
   */
  public List<Gift> gifts(List<Holding> ownAccounts, List<Demand> remoteDemands) {
    Stream<Demand> here =
        ownAccounts.stream()
            .filter(h -> h.lacking() > 0)
            .map(h -> new Demand(h.account(), h.lacking()));
    List<Demand> demands =
        Stream.concat(here, remoteDemands.stream())
            .sorted(Comparator.comparingInt(Demand::units).reversed())
            .toList();
    return ownAccounts.stream().flatMap(h -> gifts(h, demands).stream()).toList();
  }

  private List<Gift> gifts(Holding source, List<Demand> demands) {
    List<Demand> others =
        demands.stream().filter(d -> !d.account().equals(source.account())).toList();
    int left = (movable(source) + 1) / 2;
    int each = others.isEmpty() ? 0 : Math.max(1, left / others.size());
    List<Gift> gifts = new ArrayList<>();
    for (Demand d : others) {
      int units = Math.min(Math.min(each, d.units()), left);
      if (units > 0) {
        gifts.add(new Gift(source.account(), d.account(), units));
        left -= units;
      }
    }
    return gifts;
  }

  private int movable(Holding holding) {
    int kept = isHostAccount(holding.account()) ? hostReserve : 0;
    return Math.max(0, holding.unused() - Math.max(0, kept - holding.running()));
  }

  private static boolean isHostAccount(BudgetAccount account) {
    return account.shard().isEmpty();
  }
}
