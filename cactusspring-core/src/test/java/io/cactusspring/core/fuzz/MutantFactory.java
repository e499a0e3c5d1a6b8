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

/** Creates the components under test, with the given guards switched on and all others off. */
final class MutantFactory {
  /** Settings that make the time that a new owner waits negative. */
  private static final OwnerSettings NO_TAKEOVER_WAIT =
      new OwnerSettings(
          Simulation.LEASE_MILLIS,
          500,
          Simulation.CALL_TIMEOUT_MILLIS,
          -2 * Simulation.RENEW_AUTHORITY_MILLIS);

  private MutantFactory() {}

  static ShardOwner owner(
      Set<Guard> guards, ShardId shard, long epoch, ClusterState state, long nowMillis) {
    return new MutantOwner(
        shard,
        epoch,
        guards.contains(Guard.TAKEOVER_WAIT) ? Simulation.OWNER : NO_TAKEOVER_WAIT,
        placer(guards),
        state,
        nowMillis,
        guards.contains(Guard.RECORD_BEFORE_START),
        guards.contains(Guard.BUDGET));
  }

  private static Placer placer(Set<Guard> guards) {
    PlacementPolicy policy = PlacementPolicy.builder().quarantineMillis(2_000).build();
    return guards.contains(Guard.GANG)
        ? new Placer(policy)
        : MutantPlacers.startingPartsOfGangs(policy);
  }

  /** Bases the changes of a note on the revisions in force, as if its operator had seen them. */
  static LogRecord rebase(ClusterState state, LogRecord r) {
    if (!(r instanceof LogRecord.NoteApplied n)) {
      return r;
    }
    Configuration current = state.configuration();
    List<Change> changes = n.note().changes().stream().map(c -> rebase(current, c)).toList();
    return new LogRecord.NoteApplied(new ReleaseNote(n.note().id(), n.note().operator(), changes));
  }

  private static Change rebase(Configuration current, Change change) {
    return change instanceof Change.Replace r
        ? new Change.Replace(r.item(), current.revisionOf(r.path()))
        : change;
  }
}
