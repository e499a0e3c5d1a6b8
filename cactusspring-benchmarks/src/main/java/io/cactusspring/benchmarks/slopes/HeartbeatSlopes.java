package io.cactusspring.benchmarks.slopes;

import io.cactusspring.protocol.gen.EndpointLoad;
import io.cactusspring.protocol.gen.Heartbeat;
import io.cactusspring.protocol.gen.PeerMessage;
import io.cactusspring.protocol.gen.ShardLoad;
import io.cactusspring.protocol.gen.TeamLoad;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Size of the heartbeats between entry hosts, in bytes. */
final class HeartbeatSlopes {
  /** Size of the length prefix of each message. */
  private static final int FRAME_BYTES = 4;

  private HeartbeatSlopes() {}

  static List<Slope> measure() {
    return List.of(
        new Slope(
            "heartbeat-bytes",
            "membership",
            "teams with load",
            "bytes of a heartbeat with hints",
            Measure.points(new double[] {0, 6, 20, 41}, n -> bytes((int) n, 1, 0))),
        new Slope(
            "heartbeat-endpoint-bytes",
            "request routing",
            "endpoints with requests in flight",
            "bytes of a heartbeat with hints",
            Measure.points(new double[] {0, 10, 30, 100}, n -> bytes(0, 0, (int) n))));
  }

  static int bytes(int teams, int shards, int endpoints) {
    Heartbeat heartbeat = new Heartbeat();
    heartbeat.setSequence(1_000_000);
    heartbeat.setAcknowledges(1_000_000);
    heartbeat.setPromise(true);
    heartbeat.setNextOffset(10_000_000);
    heartbeat.setLogAgeMillis(500);
    heartbeat.setDraining(false);
    heartbeat.setConfigRevision(9_000_000);
    heartbeat.setTeams(teamLoads(teams));
    heartbeat.setShards(shardLoads(shards));
    heartbeat.setEndpoints(endpointLoads(endpoints));
    try {
      PeerMessage message = PeerMessage.heartbeat(heartbeat);
      return new TSerializer(new TCompactProtocol.Factory()).serialize(message).length
          + FRAME_BYTES;
    } catch (TException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<TeamLoad> teamLoads(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new TeamLoad("team-" + i, "zone-a/0", 300 + i, i))
        .toList();
  }

  private static List<ShardLoad> shardLoads(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new ShardLoad("zone-a/" + i, 1_000_000, 4_000_000, 200, 100))
        .toList();
  }

  private static List<EndpointLoad> endpointLoads(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new EndpointLoad("endpoint-" + i, i % 8))
        .toList();
  }
}
