package io.cactusspring.core.placement;

/**
 * Why a run waits.
 *
 * @since 0.1
 */
public enum WaitReason {
  QUEUED("its turn has not come yet"),
  NO_WORKER("no worker is known"),
  TEAM_LIMIT("the team runs as much as its upper limit allows here"),
  NO_ROOM("no worker has enough free processors, memory and accelerators"),
  GANG_INCOMPLETE("not all members of its gang are queued"),
  RESERVED("room is being freed and is reserved for it");

  private final String text;

  WaitReason(String text) {
    this.text = text;
  }

  /** Returns the reason in words, for an operator. */
  public String text() {
    return text;
  }
}
