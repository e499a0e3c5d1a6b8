package io.cactusspring.core.shard;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.model.WorkerInfo;
import io.cactusspring.core.placement.PlacementPolicy;
import io.cactusspring.core.placement.Placer;
import io.cactusspring.core.state.ClusterState;
import java.util.List;
import org.junit.jupiter.api.Test;

class TakeoverTest {
  private static final ShardId SHARD = ShardId.parse("za/0");
  private static final Resources SMALL = new Resources(100, 10, 0);
  private static final int LIMIT = 4;
  private static final int BACKLOG = 50;

  private final ClusterState state = new ClusterState();

  @Test
  void newOwnerStopsNoRunningTaskForHeldRuns() {
    apply(firstNote());
    long first = claim("za-1", 0);
    submit("standing", 1, false);
    TaskId task = TaskId.parse("standing#0@1");
    apply(
        new LogRecord.AttemptsStarted(SHARD, first, List.of(new LogRecord.Placement(task, "w1"))));
    submit("backlog", BACKLOG, true);
    ShardOwner owner = owner(claim("za-2", first));

    List<OwnerCommand> commands = owner.tick(0, new Permission(true, true, true));

    assertThat(commands).isNotEmpty();
    assertThat(stops(commands)).isEmpty();
  }

  private ShardOwner owner(long epoch) {
    OwnerSettings settings = new OwnerSettings(4_000, 500, 2_000, 10_000);
    Placer placer = new Placer(PlacementPolicy.builder().build());
    ShardOwner owner = new ShardOwner(SHARD, epoch, settings, placer, state, 0);
    Resources total = new Resources(64_000, 65_536, 0);
    AvailabilityZone zone = SHARD.zone();
    owner.updateWorkers(List.of(new WorkerInfo("w1", zone, "r1", "127.0.0.1:1", total, false)), 0);
    return owner;
  }

  private static List<TaskId> stops(List<OwnerCommand> commands) {
    return commands.stream()
        .filter(OwnerCommand.Sync.class::isInstance)
        .map(OwnerCommand.Sync.class::cast)
        .flatMap(sync -> sync.stop().stream())
        .toList();
  }

  private void apply(LogRecord entry) {
    state.apply(state.nextOffset(), entry);
  }

  private long claim(String owner, long supersedes) {
    long epoch = state.nextOffset();
    apply(new LogRecord.ShardClaimed(SHARD, owner, "i-" + owner, supersedes));
    return epoch;
  }

  private void submit(String id, int tasks, boolean idempotent) {
    TaskSpec spec = TaskSpec.builder(SMALL).idempotent(idempotent).build();
    apply(new LogRecord.WorkSubmitted(new Submission(id, "t0", false, tasks, spec), SHARD));
  }

  private static LogRecord firstNote() {
    List<Change> changes =
        List.of(
            new Change.Add(new ConfigItem.Zone("za", "r", 1, List.of("za-1", "za-2"))),
            new Change.Add(new ConfigItem.Team("t0", 1, LIMIT, false)));
    return new LogRecord.NoteApplied(new ReleaseNote("first", "ops", changes));
  }
}
