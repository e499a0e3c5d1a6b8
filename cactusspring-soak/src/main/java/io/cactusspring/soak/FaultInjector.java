package io.cactusspring.soak;

import io.cactusspring.platform.standin.Treatment.Answer;
import io.cactusspring.soak.FaultSwitch.Effect;
import io.cactusspring.soak.LinkProxy.Mode;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;

/** Begins and ends the planned faults. */
final class FaultInjector {
  /** Leases of 6 s have lapsed by then, and an owner has been replaced. */
  static final long RECOVERY_MILLIS = 7_000;

  private static final long DRAIN_MILLIS = 2_000;

  /** A signal has its effect within this time. */
  static final long SIGNAL_MILLIS = 300;

  private final Vertx vertx;
  private final Recorder recorder;
  private final Cluster cluster;
  private final Operators operators;

  FaultInjector(Vertx vertx, Recorder recorder, Cluster cluster, Operators operators) {
    this.vertx = vertx;
    this.recorder = recorder;
    this.cluster = cluster;
    this.operators = operators;
  }

  /** Schedules the faults relative to now. */
  void schedule(List<Fault> faults) {
    for (Fault fault : faults) {
      vertx.setTimer(fault.at(), id -> begin(fault));
      vertx.setTimer(Math.max(fault.at() + 1, fault.until()), id -> end(fault));
    }
  }

  private void begin(Fault fault) {
    System.out.println(recorder.now() + " ms: " + fault);
    if (fault.disturbs()) {
      recorder.record(at -> new Observation.Disturbed(at, at + fault.millis() + RECOVERY_MILLIS));
      recordImpairment(fault);
    }
    int target = fault.target();
    switch (fault.kind()) {
      case HOST_KILLED -> {
        halted(cluster.hosts().get(target), 0);
        cluster.hosts().get(target).kill();
      }
      case HOST_PAUSED -> {
        halted(cluster.hosts().get(target), fault.millis());
        cluster.hosts().get(target).pause();
      }
      case HOST_RELOADED -> repeat(fault, cluster.hosts().get(target)::reload);
      case HOST_STOPPED -> cluster.hosts().get(target).stop();
      case STORE_SLOW ->
          cluster
              .storeFaults()
              .begin(fault, new Effect(100, fault.amount(), fault.amount(), Answer.SENT));
      case STORE_DOWN ->
          cluster
              .storeFaults()
              .begin(
                  fault,
                  new Effect(100, 0, 0, fault.millis() % 2 == 0 ? Answer.REFUSED : Answer.SILENT));
      case STORE_LOSES_ANSWERS ->
          cluster.storeFaults().begin(fault, new Effect(fault.amount(), 0, 0, Answer.LOST));
      case STORE_LATE ->
          cluster.storeFaults().begin(fault, new Effect(fault.amount(), 200, 2_500, Answer.SENT));
      case HISTORY_DROPPED -> cluster.store().dropHistory();
      case LINK_DELAYED -> cluster.links().get(target).set(Mode.DELAYED, fault.amount());
      case LINK_RESET -> cluster.links().get(target).set(Mode.RESET, 0);
      case LINK_CUT_TO_STORE -> cluster.links().get(target).set(Mode.CUT_TO_STORE, 0);
      case LINK_CUT_FROM_STORE -> cluster.links().get(target).set(Mode.CUT_FROM_STORE, 0);
      case LINK_SILENT -> cluster.links().get(target).set(Mode.SILENT, 0);
      case OPEN_CONNECTIONS_SILENT -> cluster.links().forEach(LinkProxy::silenceOpenConnections);
      case EXECUTOR_CRASHED -> cluster.executors().get(target).crash();
      case EXECUTOR_DRAINED -> drain(target);
      case EXECUTOR_SILENT ->
          cluster.executorFaults(target).begin(fault, new Effect(100, 0, 0, Answer.SILENT));
      case EXECUTOR_LATE ->
          cluster
              .executorFaults(target)
              .begin(fault, new Effect(fault.amount(), 200, 3_000, Answer.SENT));
      case EXECUTOR_LOSES_ANSWERS ->
          cluster
              .executorFaults(target)
              .begin(fault, new Effect(fault.amount(), 0, 0, Answer.LOST));
      case EXECUTOR_RESIZED -> cluster.resize(target, fault.amount());
      case SURGE ->
          recorder.record(
              at -> new Observation.Surge(at, at + fault.millis(), "org" + fault.target()));
      case OVERLOAD, CANCELLATIONS -> {}
      case KEY_WITHDRAWN -> operators.withdrawKey();
      case ZONE_EVACUATED -> useZone(target, true);
      case CONFIGURATION_CHANGED -> repeat(fault, operators::change);
    }
  }

  private void end(Fault fault) {
    int target = fault.target();
    switch (fault.kind()) {
      case HOST_KILLED -> cluster.hosts().get(target).start();
      case HOST_PAUSED -> cluster.hosts().get(target).resume();
      case HOST_STOPPED -> restartOnceEnded(cluster.hosts().get(target));
      case STORE_SLOW, STORE_DOWN, STORE_LOSES_ANSWERS, STORE_LATE ->
          cluster.storeFaults().end(fault);
      case LINK_DELAYED, LINK_RESET, LINK_CUT_TO_STORE, LINK_CUT_FROM_STORE, LINK_SILENT ->
          cluster.links().get(target).set(Mode.FORWARDED, 0);
      case EXECUTOR_CRASHED, EXECUTOR_DRAINED -> {
        cluster.executors().get(target).boot();
        announceAfter(fault.amount(), target);
      }
      case EXECUTOR_SILENT, EXECUTOR_LATE, EXECUTOR_LOSES_ANSWERS ->
          cluster.executorFaults(target).end(fault);
      case EXECUTOR_RESIZED -> cluster.resize(target, 100);
      case OPEN_CONNECTIONS_SILENT,
          HOST_RELOADED,
          HISTORY_DROPPED,
          SURGE,
          OVERLOAD,
          CANCELLATIONS,
          KEY_WITHDRAWN -> {}
      case ZONE_EVACUATED -> useZone(target, false);
      case CONFIGURATION_CHANGED -> operators.restore();
    }
  }

  private void recordImpairment(Fault fault) {
    boolean ofOneHost =
        (fault.kind().group == Fault.Group.PROCESS || fault.kind().group == Fault.Group.LINK)
            && fault.kind() != Fault.Kind.OPEN_CONNECTIONS_SILENT;
    Optional<String> host =
        Optional.of(fault.target()).filter(t -> ofOneHost).map(t -> cluster.hosts().get(t).name());
    if (ofOneHost || fault.kind().group != Fault.Group.EXECUTOR) {
      recorder.record(at -> new Observation.HostImpaired(at, at + fault.millis(), host));
    }
  }

  private void halted(HostProcess host, long millis) {
    recorder.record(at -> new Observation.HostHalted(at, at + millis + SIGNAL_MILLIS, host.name()));
  }

  private void repeat(Fault fault, Runnable action) {
    action.run();
    vertx.setTimer(
        fault.amount(),
        id -> {
          if (recorder.now() < fault.until()) {
            repeat(fault, action);
          }
        });
  }

  private void restartOnceEnded(HostProcess host) {
    if (host.isAlive()) {
      vertx.setTimer(100, id -> restartOnceEnded(host));
    } else {
      recorder.record(at -> new Observation.Disturbed(at, at + RECOVERY_MILLIS));
      host.start();
    }
  }

  private void drain(int target) {
    SoakExecutor executor = cluster.executors().get(target);
    executor.drain();
    cluster.announce(target, true);
    vertx.setTimer(
        DRAIN_MILLIS,
        id -> {
          executor.shutDown();
          cluster.announce(target, false);
        });
  }

  private void announceAfter(long millis, int target) {
    if (millis <= 0) {
      cluster.announce(target, true);
    } else {
      vertx.setTimer(
          millis,
          id -> {
            if (cluster.executors().get(target).isUp()) {
              cluster.announce(target, true);
            }
          });
    }
  }

  private void useZone(int target, boolean out) {
    String zone = Site.ZONES.get(target);
    cluster.store().evacuate(zone, out);
    recorder.record(at -> new Observation.ZoneUse(at, zone, out));
  }
}
