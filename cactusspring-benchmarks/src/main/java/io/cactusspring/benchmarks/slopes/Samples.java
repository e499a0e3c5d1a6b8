package io.cactusspring.benchmarks.slopes;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord;
import io.cactusspring.core.model.Outcome;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.RunId;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.model.TaskId;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.state.ClusterState;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Sample records and states that resemble those of a cell of a given size. */
final class Samples {
  static final ShardId SHARD = new ShardId(new AvailabilityZone("zone-a"), 0);
  private static final int TEAMS = 41;
  private static final int FIRST_KEY = 1_000_000;
  private static final String SALT = "00112233445566778899aabbccddeeff";
  private static final String HASH = "0123456789abcdef".repeat(4);

  private Samples() {}

  static TaskSpec spec(int payloadChars) {
    return TaskSpec.builder(new Resources(8_000, 16_384, 1))
        .expectedMillis(60_000)
        .checkpointable(true)
        .payload("x".repeat(payloadChars))
        .build();
  }

  static String job(int number) {
    return String.format("job-%08d", number);
  }

  static LogRecord.WorkSubmitted submitted(int job, int tasks, int payloadChars) {
    Submission submission =
        new Submission(job(job), "team-" + job % TEAMS, false, tasks, spec(payloadChars));
    return new LogRecord.WorkSubmitted(submission, SHARD);
  }

  static LogRecord.AttemptsStarted started(int firstJob, int placements, long epoch) {
    return new LogRecord.AttemptsStarted(
        SHARD,
        epoch,
        IntStream.range(firstJob, firstJob + placements)
            .mapToObj(i -> new LogRecord.Placement(task(i), "worker-" + i % 1_500))
            .toList());
  }

  static LogRecord.RunsEnded ended(int firstJob, int ends, long epoch) {
    return new LogRecord.RunsEnded(
        SHARD,
        epoch,
        IntStream.range(firstJob, firstJob + ends)
            .mapToObj(i -> new LogRecord.End(task(i), Outcome.SUCCEEDED, false))
            .toList());
  }

  static TaskId task(int job) {
    return new TaskId(new RunId(job(job), 0), 1);
  }

  static ReleaseNote note(int number, int changes) {
    return new ReleaseNote(
        "note-" + number,
        "ops",
        IntStream.range(0, changes).mapToObj(i -> add(key(number * 1_000 + i))).toList());
  }

  /** Returns a note that replaces one key at its current revision. */
  static ReleaseNote replacement(ClusterState state, int number) {
    ConfigItem key = key(FIRST_KEY);
    Change change = new Change.Replace(key, state.configuration().revisionOf(key.path()));
    return new ReleaseNote("note-" + number, "ops", List.of(change));
  }

  private static Change add(ConfigItem item) {
    return new Change.Add(item);
  }

  private static ConfigItem key(int number) {
    return new ConfigItem.Key("key-" + number, "team-" + number % TEAMS, false, SALT, HASH);
  }

  /** Returns a state with the teams, a claimed shard and the given number of keys. */
  static ClusterState configured(int keys) {
    ClusterState state = new ClusterState();
    List<Change> changes = new ArrayList<>();
    changes.add(add(new ConfigItem.Zone("zone-a", "north", 1, List.of("entry-1", "entry-2"))));
    IntStream.range(0, TEAMS)
        .forEach(i -> changes.add(add(new ConfigItem.Team("team-" + i, 1, 2_000, false))));
    IntStream.range(0, keys).forEach(i -> changes.add(add(key(FIRST_KEY + i))));
    apply(state, new LogRecord.NoteApplied(new ReleaseNote("first", "bootstrap", changes)));
    apply(state, new LogRecord.ShardClaimed(SHARD, "entry-1", "incarnation-1", 0));
    return state;
  }

  /** Returns a state in which the given number of single-task jobs have started. */
  static ClusterState running(int runs) {
    ClusterState state = configured(200);
    long epoch = state.claim(SHARD).orElseThrow().epoch();
    for (int i = 0; i < runs; i++) {
      apply(state, submitted(i, 1, 200));
      apply(state, started(i, 1, epoch));
    }
    return state;
  }

  static void apply(ClusterState state, LogRecord entry) {
    state.apply(state.nextOffset(), entry);
  }
}
