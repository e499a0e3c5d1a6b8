package io.cactusspring.soak;

import io.vertx.core.Vertx;

/**
 * Kills all hosts at times when one failed member of a gang is stored and others of its run are
 * about to fail. Which host owns the gang is not known to the stand-ins. A kill at a random time
 * hardly ever falls between two such ends.
 */
final class Takeovers {
  /** Time in which the jobs recover from a kill, and work again for a while. */
  private static final long PAUSE_MILLIS = 12_000;

  private static final long RESTART_MILLIS = 300;

  private final Vertx vertx;
  private final Recorder recorder;
  private final Cluster cluster;
  private final long until;
  private long notBefore;

  /**
   * Creates takeovers.
   *
   * @param until when the last kill may happen, in milliseconds since the run began
   */
  Takeovers(Vertx vertx, Recorder recorder, Cluster cluster, long until) {
    this.vertx = vertx;
    this.recorder = recorder;
    this.cluster = cluster;
    this.until = until;
  }

  /** Takes note that a failure was stored and that others of the same run are to come. */
  void partialFailure() {
    long now = recorder.now();
    // A request that a planned stop cuts is a violation, which a kill would not excuse.
    if (now < notBefore
        || now > until
        || cluster.hosts().stream().anyMatch(HostProcess::isStopping)) {
      return;
    }
    notBefore = now + PAUSE_MILLIS;
    System.out.println(now + " ms: all hosts killed between the ends of a gang");
    recorder.record(
        at -> new Observation.Disturbed(at, at + RESTART_MILLIS + FaultInjector.RECOVERY_MILLIS));
    cluster.hosts().forEach(this::kill);
    vertx.setTimer(RESTART_MILLIS, id -> cluster.hosts().forEach(HostProcess::start));
  }

  private void kill(HostProcess host) {
    recorder.record(
        at -> new Observation.HostHalted(at, at + FaultInjector.SIGNAL_MILLIS, host.name()));
    host.kill();
  }
}
