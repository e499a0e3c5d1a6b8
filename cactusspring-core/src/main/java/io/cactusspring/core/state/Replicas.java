package io.cactusspring.core.state;

import io.cactusspring.core.config.Configuration;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.LogRecord.End;
import io.cactusspring.core.model.ShardId;
import io.cactusspring.core.model.TaskSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/** Maintains one run for each configured replica of a service. */
final class Replicas {
  private final Workloads workloads;
  private final RunRules rules;

  Replicas(Workloads workloads, RunRules rules) {
    this.workloads = workloads;
    this.rules = rules;
  }

  /** Adjusts the replicas to a change of configuration. */
  List<StateChange> reconcile(Configuration before, Configuration after, long offset) {
    List<StateChange> changes = new ArrayList<>();
    Map<String, ConfigItem.Service> wanted = new HashMap<>();
    after.services().forEach(s -> wanted.put(s.name(), s));
    before.services().stream()
        .filter(s -> !wanted.containsKey(s.name()))
        .forEach(s -> changes.addAll(withdraw(s)));
    after.services().stream()
        .filter(s -> !before.service(s.name()).equals(Optional.of(s)))
        .forEach(s -> changes.addAll(declare(s, after.shards(), offset)));
    return changes;
  }

  private List<StateChange> withdraw(ConfigItem.Service s) {
    Workload w = workloads.find(Workload.SERVICE_PREFIX + s.name());
    return w == null ? List.of() : resize(w, s.name(), 0, List.of(), null);
  }

  private List<StateChange> declare(ConfigItem.Service s, List<ShardId> shards, long offset) {
    String id = Workload.SERVICE_PREFIX + s.name();
    Workload w = workloads.find(id);
    if (w == null && s.replicas() == 0) {
      return List.of();
    }
    if (w == null) {
      w = new Workload(id, s.team(), s.task(), false, 0, shards.getFirst(), offset);
      workloads.add(w);
    }
    w.setTeam(s.team());
    return resize(w, s.name(), s.replicas(), shards, s.task());
  }

  private List<StateChange> resize(
      Workload w, String service, int replicas, List<ShardId> shards, TaskSpec spec) {
    List<StateChange> changes = new ArrayList<>();
    changes.add(new StateChange.ReplicasChanged(service));
    if (spec != null && !spec.equals(w.spec())) {
      w.setSpec(spec);
    }
    w.setDesiredCount(replicas);
    IntStream.range(0, replicas).filter(i -> !w.isLive(i)).forEach(i -> addReplica(w, i, shards));
    List<Integer> surplus = w.indexes(RunState.PENDING).filter(i -> i >= replicas).boxed().toList();
    Map<ShardId, List<End>> ended = rules.endPending(w, surplus);
    ended.forEach((shard, ends) -> changes.add(new StateChange.RunsEnded(shard, ends)));
    workloads.refresh(w);
    return changes;
  }

  private static void addReplica(Workload w, int i, List<ShardId> shards) {
    w.setPending(i);
    w.moveHome(i, shards.get(i % shards.size()));
  }
}
