package io.cactusspring.core.membership;

import static com.google.common.truth.Truth.assertThat;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.state.ClusterState;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClaimPolicyTest {
  private static final MembershipSettings SETTINGS = new MembershipSettings(3_000, 120_000, 4_000);
  private static final ShardId SHARD = ShardId.parse("za/0");
  private static final AvailabilityZone ZONE = SHARD.zone();
  private static final long LONG_PAUSE_MILLIS = 60_000;

  private final ClusterState state = new ClusterState();
  private final PeerTable peers = new PeerTable(0);
  private final ClaimPolicy policy = new ClaimPolicy("za-1", "i1", ZONE, SETTINGS);

  @Test
  void resumedHostDoesNotTreatItsOwnPauseAsSilenceOfPeers() {
    apply(firstNote());
    peers.add("za-2", ZONE);
    apply(new LogRecord.ShardClaimed(SHARD, "za-2", "i2", 0));
    peers.recordHeartbeat("za-2", "i2", state.nextOffset(), false, 1);

    assertThat(policy.claims(state, peers, SETTINGS.takeoverMillis())).isEmpty();
    peers.resetSilence(LONG_PAUSE_MILLIS);
    assertThat(policy.claims(state, peers, LONG_PAUSE_MILLIS + 1)).isEmpty();
  }

  @Test
  void hostThatLostItsStateClaimsItsShardAgain() {
    apply(firstNote());
    long epoch = state.nextOffset();
    apply(new LogRecord.ShardClaimed(SHARD, "za-1", "i1", 0));
    policy.recordClaim(SHARD, state.claim(SHARD).orElseThrow());
    assertThat(policy.claims(state, peers, 0)).isEmpty();

    policy.relinquishClaims(state.nextOffset());

    assertThat(policy.isOwnClaim(state.claim(SHARD).orElseThrow())).isFalse();
    assertThat(policy.claims(state, peers, 0))
        .containsExactly(new LogRecord.ShardClaimed(SHARD, "za-1", "i1", epoch));
  }

  private void apply(LogRecord entry) {
    state.apply(state.nextOffset(), entry);
  }

  private static LogRecord firstNote() {
    return new LogRecord.NoteApplied(
        new ReleaseNote(
            "first",
            "ops",
            List.of(new Change.Add(new ConfigItem.Zone("za", "r", 1, List.of("za-1", "za-2"))))));
  }
}
