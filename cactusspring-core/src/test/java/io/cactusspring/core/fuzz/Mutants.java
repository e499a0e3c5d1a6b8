package io.cactusspring.core.fuzz;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.placement.MutantPlacers;
import io.cactusspring.core.placement.PlacementPolicy;
import io.cactusspring.core.placement.Placer;
import io.cactusspring.core.shard.MutantOwner;
import io.cactusspring.core.shard.OwnerSettings;
import io.cactusspring.core.shard.ShardOwner;
import io.cactusspring.core.state.ClusterState;
import java.util.List;
import java.util.Set;

/** The parts of the system with guards switched off. */
final class Mutants {
  /** Makes the time that a new owner waits negative. */
  private static final OwnerSettings HASTY =
      new OwnerSettings(
          World.LEASE_MILLIS, 500, World.CALL_TIMEOUT_MILLIS, -2 * World.RENEW_AUTHORITY_MILLIS);

  private Mutants() {}

  static ShardOwner owner(
      Set<Guards> guards, ShardId shard, long epoch, ClusterState state, long nowMillis) {
    return new MutantOwner(
        shard,
        epoch,
        guards.contains(Guards.TAKEOVER_WAIT) ? World.OWNER : HASTY,
        placer(guards),
        state,
        nowMillis,
        guards.contains(Guards.RECORD_BEFORE_START),
        guards.contains(Guards.BUDGET));
  }

  private static Placer placer(Set<Guards> guards) {
    PlacementPolicy policy = PlacementPolicy.builder().quarantineMillis(2_000).build();
    return guards.contains(Guards.GANG)
        ? new Placer(policy)
        : MutantPlacers.startingPartsOfGangs(policy);
  }

  /** Makes a note name the revisions in force, as if its operator had seen them. */
  static LogRecord rebased(ClusterState state, LogRecord r) {
    if (!(r instanceof LogRecord.NoteApplied n)) {
      return r;
    }
    Configuration current = state.configuration();
    List<Change> changes = n.note().changes().stream().map(c -> rebased(current, c)).toList();
    return new LogRecord.NoteApplied(new ReleaseNote(n.note().id(), n.note().operator(), changes));
  }

  private static Change rebased(Configuration current, Change change) {
    return change instanceof Change.Replace r
        ? new Change.Replace(r.item(), current.revisionOf(r.path()))
        : change;
  }
}
