package io.cactusspring.daemon;

import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.daemon.cell.Cell;
import io.cactusspring.daemon.control.BudgetController;
import io.cactusspring.daemon.control.BudgetController.AccountLoad;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.List;

/** Gauges of this entry host for each team in the configuration. */
final class TeamGauges {
  private final Cell cell;
  private final BudgetController budgets;
  private final MultiGauge running;
  private final MultiGauge waiting;
  private final MultiGauge budget;

  TeamGauges(MeterRegistry registry, Cell cell, BudgetController budgets) {
    this.cell = cell;
    this.budgets = budgets;
    this.running = MultiGauge.builder("cactusspring.team.running").register(registry);
    this.waiting = MultiGauge.builder("cactusspring.team.waiting").register(registry);
    this.budget = MultiGauge.builder("cactusspring.team.budget").register(registry);
  }

  /** Load and budget of one team on this entry host. */
  private record TeamLoad(String team, int running, int waiting, int budget) {}

  /** Replaces the rows of all gauges with the teams of the configuration and their values. */
  void refresh() {
    List<TeamLoad> loads =
        cell.configuration().teams().stream().map(ConfigItem.Team::name).map(this::load).toList();
    running.register(loads.stream().map(l -> row(l, l.running())).toList(), true);
    waiting.register(loads.stream().map(l -> row(l, l.waiting())).toList(), true);
    budget.register(loads.stream().map(l -> row(l, l.budget())).toList(), true);
  }

  private TeamLoad load(String team) {
    List<AccountLoad> accounts = budgets.loads(team);
    return new TeamLoad(
        team,
        accounts.stream().mapToInt(AccountLoad::running).sum(),
        accounts.stream().mapToInt(AccountLoad::shortfall).sum(),
        cell.read(s -> accounts.stream().mapToInt(a -> s.budget(team, a.account())).sum()));
  }

  private static MultiGauge.Row<Number> row(TeamLoad load, int value) {
    return MultiGauge.Row.of(Tags.of("team", load.team()), value);
  }
}
