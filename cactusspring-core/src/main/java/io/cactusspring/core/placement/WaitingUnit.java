package io.cactusspring.core.placement;

import io.cactusspring.core.model.Urgency;
import java.util.List;

/** A single run, or all members of a gang, placed in one step. */
record WaitingUnit(long sequence, long waitingSinceMillis, List<PendingRun> members) {
  WaitingUnit {
    members = List.copyOf(members);
  }

  PendingRun first() {
    return members.getFirst();
  }

  int size() {
    return members.size();
  }

  String team() {
    return first().team();
  }

  Urgency urgency() {
    return first().spec().urgency();
  }

  Shape shape() {
    return Shape.of(first());
  }
}
