package io.cactusspring.daemon.control;

import io.cactusspring.core.budget.AccountUsage;
import io.cactusspring.core.budget.BudgetMove;
import io.cactusspring.core.budget.BudgetMovePolicy;
import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.shard.ShardOwner;
import io.cactusspring.core.state.StateChange;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.cell.CellListener;
import io.cactusspring.daemon.cell.MonotonicClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

/**
 * Moves unused units of teams' upper limits from this host's accounts to accounts where work of the
 * team waits. The source account withholds the units from use before the record is sent and until
 * the record has been read back from the log. Guarded by the lock of the cell.
 *
 * @since 0.1
 */
public final class BudgetController implements CellListener {
  private static final long RESEND_INTERVAL_MILLIS = 3_000;

  private final Cell cell;
  private final ShardController shards;
  private final LogController log;
  private final PeerLoads peerLoads;
  private final MonotonicClock clock;
  private final BudgetAccount hostAccount;
  private final RequestLoad requests;
  private final Map<String, PendingMove> pendingMoves = new LinkedHashMap<>();
  private final Map<String, Integer> withheldFromHost = new HashMap<>();

  /** Supplies the request load of teams on this entry host. */
  public interface RequestLoad {
    int inFlight(String team);

    int waiting(String team);
  }

  /**
   * Load of one account.
   *
   * @param running units in use
   * @param shortfall units that wait for budget
   */
  public record AccountLoad(BudgetAccount account, int running, int shortfall) {}

  private static final class PendingMove {
    private final LogRecord.BudgetMoved entry;
    private long sentAtMillis;

    PendingMove(LogRecord.BudgetMoved entry, long sentAtMillis) {
      this.entry = entry;
      this.sentAtMillis = sentAtMillis;
    }
  }

  public BudgetController(
      Cell cell,
      ShardController shards,
      LogController log,
      PeerLoads peerLoads,
      MonotonicClock clock,
      String host,
      RequestLoad requests) {
    this.cell = cell;
    this.shards = shards;
    this.log = log;
    this.peerLoads = peerLoads;
    this.clock = clock;
    this.hostAccount = BudgetAccount.ofHost(host);
    this.requests = requests;
  }

  /** Returns the units of a team that requests on this entry host may hold at the same time. */
  public int requestBudget(String team) {
    return cell.read(
        s -> Math.max(0, s.budget(team, hostAccount) - withheldFromHost.getOrDefault(team, 0)));
  }

  /** Returns a team's running and waiting units for each of this host's accounts. */
  public List<AccountLoad> loads(String team) {
    return cell.locked(
        () ->
            accountUsages(team, shards.owners().stream())
                .map(u -> new AccountLoad(u.account(), u.running(), u.shortfall()))
                .toList());
  }

  /**
   * Moves spare units to accounts whose work waits for budget, and resends moves that have not been
   * read back. Does nothing while the log is unavailable.
   */
  public void tick() {
    if (!log.available()) {
      return;
    }
    List<LogRecord> records = new ArrayList<>();
    long now = clock.millis();
    cell.locked(
        () -> {
          resend(now, records);
          List<ShardOwner> own = shards.owners();
          cell.configuration().teams().forEach(t -> moveSpareBudget(t, own, now, records));
          return null;
        });
    if (!records.isEmpty()) {
      log.append(records);
    }
  }

  @Override
  public void applied(long offset, LogRecord entry, List<StateChange> changes) {
    if (entry instanceof LogRecord.BudgetMoved m && pendingMoves.containsKey(m.id())) {
      pendingMoves.remove(m.id());
      changeWithheld(m, -m.amount());
    }
  }

  /**
   * Discards the pending moves of shard accounts: a restore creates new owners, whose new epochs
   * invalidate them. Units that leave this host's own account stay withheld until the record of the
   * move is read back.
   */
  @Override
  public void restored() {
    pendingMoves.values().removeIf(m -> !m.entry.from().equals(hostAccount));
  }

  private void resend(long nowMillis, List<LogRecord> records) {
    pendingMoves.values().stream()
        .filter(m -> nowMillis - m.sentAtMillis >= RESEND_INTERVAL_MILLIS)
        .forEach(
            m -> {
              m.sentAtMillis = nowMillis;
              records.add(m.entry);
            });
  }

  private void moveSpareBudget(
      ConfigItem.Team team, List<ShardOwner> owners, long nowMillis, List<LogRecord> records) {
    int accounts = cell.configuration().accounts().size();
    List<AccountUsage> own = accountUsages(team.name(), owners.stream()).toList();
    new BudgetMovePolicy(team.maxRunning(), accounts)
        .moves(own, peerLoads.demand(team.name(), nowMillis)).stream()
            .map(m -> createMove(team, m, nowMillis))
            .forEach(records::add);
  }

  private LogRecord createMove(ConfigItem.Team team, BudgetMove move, long nowMillis) {
    long revision = cell.configuration().revisionOf(team.path());
    LogRecord.BudgetMoved entry =
        new LogRecord.BudgetMoved(
            UUID.randomUUID().toString(),
            team.name(),
            move.from(),
            move.to(),
            move.units(),
            revision,
            epochOf(move.from()));
    pendingMoves.put(entry.id(), new PendingMove(entry, nowMillis));
    changeWithheld(entry, move.units());
    return entry;
  }

  private long epochOf(BudgetAccount account) {
    return shards.owners().stream()
        .filter(o -> o.account().equals(account))
        .mapToLong(ShardOwner::epoch)
        .findFirst()
        .orElse(0);
  }

  /**
   * Changes the units withheld from the source account. For a shard account this applies only to
   * the owner with the epoch of the move, since a later owner never withheld those units.
   */
  private void changeWithheld(LogRecord.BudgetMoved entry, int units) {
    if (entry.from().equals(hostAccount)) {
      withheldFromHost.merge(entry.team(), units, Integer::sum);
      return;
    }
    shards.owners().stream()
        .filter(o -> o.account().equals(entry.from()) && o.epoch() == entry.epoch())
        .forEach(o -> o.withholdBudget(entry.team(), units));
  }

  private Stream<AccountUsage> accountUsages(String team, Stream<ShardOwner> owners) {
    ToIntFunction<BudgetAccount> budget =
        a -> cell.read(s -> s.budget(team, a)) - withheldFrom(team, a);
    AccountUsage hostUsage =
        new AccountUsage(
            hostAccount,
            budget.applyAsInt(hostAccount),
            requests.inFlight(team),
            requests.waiting(team));
    Stream<AccountUsage> shardUsages =
        owners.map(
            o ->
                new AccountUsage(
                    o.account(),
                    budget.applyAsInt(o.account()),
                    o.running(team),
                    o.placer().waiting(team)));
    return Stream.concat(Stream.of(hostUsage), shardUsages);
  }

  private int withheldFrom(String team, BudgetAccount account) {
    return pendingMoves.values().stream()
        .map(m -> m.entry)
        .filter(e -> e.team().equals(team) && e.from().equals(account))
        .mapToInt(LogRecord.BudgetMoved::amount)
        .sum();
  }
}
