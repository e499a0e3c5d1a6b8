package io.cactusspring.core.fuzz;

import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.state.ClusterState;
import java.util.List;
import java.util.Optional;

/** Zones, hosts, workers, teams and service of the simulated cell. */
final class CellFixture {
  static final List<String> TEAMS = List.of("small", "large");
  private static final List<String> HOSTS = List.of("a1", "a2", "b1", "b2");
  private static final List<String> WORKERS = List.of("aw1", "aw2", "bw1", "bw2");

  private CellFixture() {}

  static List<String> hosts() {
    return HOSTS;
  }

  static List<String> workers() {
    return WORKERS;
  }

  static List<Change> items() {
    return List.of(
        new Change.Add(new ConfigItem.Zone("za", "riga", 1, HOSTS.subList(0, 2))),
        new Change.Add(new ConfigItem.Zone("zb", "riga", 1, HOSTS.subList(2, 4))),
        new Change.Add(new ConfigItem.Team("small", 1, 12, false)),
        new Change.Add(new ConfigItem.Team("large", 3, 24, false)),
        new Change.Add(new ConfigItem.Service("feed", "large", 2, spec(500, 0, true))));
  }

  static TaskSpec spec(long milliProcessors, long expectedMillis, boolean idempotent) {
    return TaskSpec.builder(new Resources(milliProcessors, 128, 0))
        .expectedMillis(expectedMillis)
        .idempotent(idempotent)
        .build();
  }

  static Optional<Change> limitChange(String team, int limit, ClusterState seen) {
    long revision = seen.configuration().revisionOf("team/" + team);
    int share = TEAMS.indexOf(team) + 1;
    return revision == 0
        ? Optional.empty()
        : Optional.of(new Change.Replace(new ConfigItem.Team(team, share, limit, false), revision));
  }
}
