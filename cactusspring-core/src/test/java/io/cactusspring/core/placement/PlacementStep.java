package io.cactusspring.core.placement;

/** One step of a random history; indexes are taken modulo the number of existing elements. */
sealed interface PlacementStep {
  record AddWorker(int worker, int processors, int memory, int accelerators, boolean leaving)
      implements PlacementStep {}

  record SetReachable(int worker, boolean reachable) implements PlacementStep {}

  record RemoveWorker(int worker) implements PlacementStep {}

  record Enqueue(
      int team, int processors, int memory, int accelerators, int urgency, boolean checkpointable)
      implements PlacementStep {}

  record EnqueueGang(int team, int processors, int size) implements PlacementStep {}

  record EnqueueReplica(int team, int processors) implements PlacementStep {}

  /** Tries to queue the next attempt of a run that already has a committed task. */
  record EnqueueAgain(int run) implements PlacementStep {}

  record Cancel(int run) implements PlacementStep {}

  record Release(int task, ReleaseReason reason) implements PlacementStep {}

  record Recover(int worker, int team, int processors) implements PlacementStep {}

  record SetBudget(int team, int budget) implements PlacementStep {}

  record Decide(int maxDecisions) implements PlacementStep {}

  record Wait(int millis) implements PlacementStep {}
}
