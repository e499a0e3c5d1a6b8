package io.cactusspring.core.state;

import io.cactusspring.core.codec.CodecException;
import io.cactusspring.core.codec.RecordCodec;
import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.config.RevisionedItem;
import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.ShardId;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The encoded form of a state. Lists preserve insertion order where the order is significant. */
record StateImage(
    int version,
    long nextOffset,
    long revision,
    Map<String, RevisionedItem> items,
    List<ShardClaim> claims,
    List<Note> notes,
    List<Part> budgets,
    List<String> moves,
    List<WorkloadImage> workloads,
    List<String> ended,
    List<Closed> closed) {
  private static final int VERSION = 1;
  private static final RecordCodec CODEC = new RecordCodec();

  record ShardClaim(ShardId shard, Claim claim) {}

  record Note(String id, NoteStatus status) {}

  record Part(String team, BudgetAccount account, int amount) {}

  record Closed(String id, Workloads.ClosedId value) {}

  static StateImage of(ClusterState s) {
    return new StateImage(
        VERSION,
        s.nextOffset(),
        s.configuration().revision(),
        s.configuration().items(),
        s.claims().entrySet().stream().map(e -> new ShardClaim(e.getKey(), e.getValue())).toList(),
        s.notes().entries().entrySet().stream()
            .map(e -> new Note(e.getKey(), e.getValue()))
            .toList(),
        parts(s.budgets().splits()),
        List.copyOf(s.budgets().moves().entries().keySet()),
        s.workloads().all().stream().map(WorkloadImage::of).toList(),
        List.copyOf(s.workloads().ended()),
        s.workloads().closed().entries().entrySet().stream()
            .map(e -> new Closed(e.getKey(), e.getValue()))
            .toList());
  }

  static StateImage decode(String text) throws CodecException {
    StateImage image = CODEC.decodeValue(text, StateImage.class);
    if (image.version() != VERSION) {
      throw new CodecException(
          "snapshot has version " + image.version() + "; expected " + VERSION, null);
    }
    return image;
  }

  String encode() {
    return CODEC.encodeValue(this);
  }

  ClusterState restoreInto(ClusterState s) {
    s.restorePosition(Configuration.of(revision, items), nextOffset);
    claims.forEach(c -> s.claims().put(c.shard(), c.claim()));
    notes.forEach(n -> s.notes().put(n.id(), n.status()));
    Map<String, TreeMap<BudgetAccount, Integer>> splits = s.budgets().splits();
    s.configuration().teams().forEach(t -> splits.put(t.name(), new TreeMap<>()));
    budgets.forEach(p -> splits.get(p.team()).put(p.account(), p.amount()));
    moves.forEach(m -> s.budgets().moves().put(m, true));
    workloads.forEach(w -> s.workloads().add(w.toWorkload()));
    s.workloads().restoreEnded(ended);
    closed.forEach(c -> s.workloads().closed().put(c.id(), c.value()));
    return s;
  }

  private static List<Part> parts(Map<String, TreeMap<BudgetAccount, Integer>> splits) {
    return splits.entrySet().stream()
        .flatMap(
            t ->
                t.getValue().entrySet().stream()
                    .map(p -> new Part(t.getKey(), p.getKey(), p.getValue())))
        .collect(Collectors.toList());
  }
}
