package io.cactusspring.core.placement;

/**
 * Why a run waits.
 *
 * @since 0.1
 */
public enum WaitReason {
  QUEUED("waiting in its team's queue"),
  NO_WORKER("no worker is registered"),
  TEAM_LIMIT("the run would exceed the team's upper limit here"),
  NO_ROOM("no worker has enough free processors, memory and accelerators"),
  GANG_INCOMPLETE("not all members of its gang are queued"),
  RESERVED("capacity is being freed and is reserved for this run");

  private final String text;

  WaitReason(String text) {
    this.text = text;
  }

  /** Returns the reason in words, for an operator. */
  public String text() {
    return text;
  }
}
