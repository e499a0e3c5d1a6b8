package io.cactusspring.daemon.control;

import io.cactusspring.core.budget.Gift;
import io.cactusspring.core.budget.GivingPolicy;
import io.cactusspring.core.budget.Holding;
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
 * Moves unused parts of teams' upper limits from this host's accounts to accounts where work of the
 * team waits. The giver stops using what it gives before the record is sent, and until the record
 * has been read back. Guarded by the lock of the cell.
 *
 * @since 0.1
 */
public final class BudgetController implements CellListener {
  private static final long RESEND_MILLIS = 3_000;

  private final Cell cell;
  private final ShardController shards;
  private final LogController log;
  private final Hints hints;
  private final MonotonicClock clock;
  private final BudgetAccount hostAccount;
  private final RequestLoad requests;
  private final Map<String, Move> moves = new LinkedHashMap<>();
  private final Map<String, Integer> givenByHost = new HashMap<>();

  /** Requests of teams at this entry host. */
  public interface RequestLoad {
    int inFlight(String team);

    int waiting(String team);
  }

  /**
   * Load of one account.
   *
   * @param lacking units that wait for budget
   */
  public record AccountLoad(BudgetAccount account, int running, int lacking) {}

  private static final class Move {
    private final LogRecord.BudgetMoved entry;
    private long sentAtMillis;

    Move(LogRecord.BudgetMoved entry, long sentAtMillis) {
      this.entry = entry;
      this.sentAtMillis = sentAtMillis;
    }
  }

  public BudgetController(
      Cell cell,
      ShardController shards,
      LogController log,
      Hints hints,
      MonotonicClock clock,
      String host,
      RequestLoad requests) {
    this.cell = cell;
    this.shards = shards;
    this.log = log;
    this.hints = hints;
    this.clock = clock;
    this.hostAccount = BudgetAccount.ofHost(host);
    this.requests = requests;
  }

  /** Units of a team that this entry host may have in flight as requests. */
  public int requestBudget(String team) {
    return cell.read(
        s -> Math.max(0, s.budget(team, hostAccount) - givenByHost.getOrDefault(team, 0)));
  }

  /** Units of a team that run or wait for budget, at each of this host's accounts. */
  public List<AccountLoad> loads(String team) {
    return cell.locked(
        () ->
            holdings(team, shards.owners().stream())
                .map(h -> new AccountLoad(h.account(), h.running(), h.lacking()))
                .toList());
  }

  /** Gives what is spare to where it lacks, and sends again what was not read back. */
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
          cell.configuration().teams().forEach(t -> give(t, own, now, records));
          return null;
        });
    if (!records.isEmpty()) {
      log.append(records);
    }
  }

  @Override
  public void applied(long offset, LogRecord entry, List<StateChange> changes) {
    if (entry instanceof LogRecord.BudgetMoved m && moves.containsKey(m.id())) {
      moves.remove(m.id());
      giveAway(m, -m.amount());
    }
  }

  /**
   * Owners are new after a restore, with new epochs that void their moves; what this host's own
   * account is giving away stays out of use until its record is read back.
   */
  @Override
  public void restored() {
    moves.values().removeIf(m -> !m.entry.from().equals(hostAccount));
  }

  private void resend(long nowMillis, List<LogRecord> records) {
    moves.values().stream()
        .filter(m -> nowMillis - m.sentAtMillis >= RESEND_MILLIS)
        .forEach(
            m -> {
              m.sentAtMillis = nowMillis;
              records.add(m.entry);
            });
  }

  private void give(
      ConfigItem.Team team, List<ShardOwner> owners, long nowMillis, List<LogRecord> records) {
    int accounts = cell.configuration().accounts().size();
    List<Holding> own = holdings(team.name(), owners.stream()).toList();
    new GivingPolicy(team.maxRunning(), accounts)
        .gifts(own, hints.demand(team.name(), nowMillis)).stream()
            .map(g -> move(team, g, nowMillis))
            .forEach(records::add);
  }

  private LogRecord move(ConfigItem.Team team, Gift gift, long nowMillis) {
    long revision = cell.configuration().revisionOf(team.path());
    LogRecord.BudgetMoved entry =
        new LogRecord.BudgetMoved(
            UUID.randomUUID().toString(),
            team.name(),
            gift.from(),
            gift.to(),
            gift.units(),
            revision,
            epochOf(gift.from()));
    moves.put(entry.id(), new Move(entry, nowMillis));
    giveAway(entry, gift.units());
    return entry;
  }

  private long epochOf(BudgetAccount account) {
    return shards.owners().stream()
        .filter(o -> o.account().equals(account))
        .mapToLong(ShardOwner::epoch)
        .findFirst()
        .orElse(0);
  }

  /** A later owner of the shard never stopped using what an earlier one gave. */
  private void giveAway(LogRecord.BudgetMoved entry, int units) {
    if (entry.from().equals(hostAccount)) {
      givenByHost.merge(entry.team(), units, Integer::sum);
      return;
    }
    shards.owners().stream()
        .filter(o -> o.account().equals(entry.from()) && o.epoch() == entry.epoch())
        .forEach(o -> o.withholdBudget(entry.team(), units));
  }

  private Stream<Holding> holdings(String team, Stream<ShardOwner> owners) {
    ToIntFunction<BudgetAccount> budget =
        a -> cell.read(s -> s.budget(team, a)) - givenFrom(team, a);
    Holding host =
        new Holding(
            hostAccount,
            budget.applyAsInt(hostAccount),
            requests.inFlight(team),
            requests.waiting(team));
    Stream<Holding> ofShards =
        owners.map(
            o ->
                new Holding(
                    o.account(),
                    budget.applyAsInt(o.account()),
                    o.running(team),
                    o.placer().waiting(team)));
    return Stream.concat(Stream.of(host), ofShards);
  }

  private int givenFrom(String team, BudgetAccount account) {
    return moves.values().stream()
        .map(m -> m.entry)
        .filter(e -> e.team().equals(team) && e.from().equals(account))
        .mapToInt(LogRecord.BudgetMoved::amount)
        .sum();
  }
}
