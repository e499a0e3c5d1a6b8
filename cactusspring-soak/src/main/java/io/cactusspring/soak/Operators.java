package io.cactusspring.soak;

import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.platform.standin.Deployment;
import io.cactusspring.platform.standin.StoreServer;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** The operators, who write one version of the configuration after the other. */
final class Operators {
  private static final long OLD_KEY_MILLIS = 10_000;

  /** What differs from the first version, apart from a withdrawn key. */
  private enum Difference {
    NONE,
    ATTEMPTS,
    TARGET_LATENCY,
    ROUTE,
    OPEN_ROUTE,
    KEY
  }

  private final Recorder recorder;
  private final StoreServer store;
  private final Callers callers;
  private long version = 1;
  private boolean keyWithdrawn;
  private Difference difference = Difference.NONE;
  private Optional<String> extraKey = Optional.empty();
  private Optional<String> lastExtraKey = Optional.empty();

  Operators(Recorder recorder, StoreServer store, Callers callers) {
    this.recorder = recorder;
    this.store = store;
    this.callers = callers;
  }

  void withdrawKey() {
    keyWithdrawn = true;
    configure(difference);
    callers.withdrawKey(OLD_KEY_MILLIS);
    String withdrawn = Site.firstKey(Site.ROTATING);
    recorder.record(at -> new Observation.KeyWithdrawn(at, withdrawn));
  }

  /** Goes on to the next difference; each one is undone by the next one. */
  void change() {
    Difference[] all = Difference.values();
    configure(all[(difference.ordinal() + 1) % all.length]);
  }

  /** Undoes the differences. */
  void restore() {
    configure(Difference.NONE);
  }

  private void configure(Difference next) {
    version++;
    difference = next;
    Optional<String> oldKey = extraKey;
    extraKey =
        Optional.of(Site.EXTRA_KEY_OWNER + "-" + version).filter(k -> next == Difference.KEY);
    extraKey.ifPresent(k -> lastExtraKey = extraKey);
    publish();
    oldKey.ifPresent(k -> recorder.record(at -> new Observation.KeyWithdrawn(at, k)));
    callers.useExtraKey(extraKey);
  }

  /** Writes the configuration as it is. */
  void publish() {
    List<Queue> queues = queues();
    List<Organisation> organisations = organisations();
    store.configure(new Deployment(version, queues, Site.deployment().services(), organisations));
    recorder.record(at -> new Observation.Configured(at, version, queues, organisations));
  }

  /** Returns the key that was added last, which may have been revoked since. */
  Optional<String> lastExtraKey() {
    return lastExtraKey;
  }

  private List<Queue> queues() {
    List<Queue> queues = Site.deployment().queues();
    return switch (difference) {
      case ATTEMPTS ->
          queues.stream()
              .map(q -> copy(q, q.name(), q.maxAttempts() + 1, q.targetLatencyMillis()))
              .toList();
      case TARGET_LATENCY ->
          queues.stream()
              .map(q -> copy(q, q.name(), q.maxAttempts(), 2 * q.targetLatencyMillis()))
              .toList();
      case ROUTE -> Stream.concat(queues.stream(), Stream.of(Site.EXTRA)).toList();
      case OPEN_ROUTE -> Stream.concat(queues.stream(), Stream.of(Site.OPEN)).toList();
      case NONE, KEY -> queues;
    };
  }

  private static Queue copy(Queue q, String name, int maxAttempts, long targetLatencyMillis) {
    return new Queue(
        name,
        q.callerHost(),
        "/" + name + "/",
        q.service(),
        q.priority(),
        maxAttempts,
        q.stretch(),
        targetLatencyMillis,
        q.advice(),
        q.open());
  }

  private List<Organisation> organisations() {
    return Site.organisations().stream()
        .map(o -> new Organisation(o.name(), keys(o), o.weight(), o.limit()))
        .toList();
  }

  private Set<String> keys(Organisation organisation) {
    Set<String> keys = new HashSet<>(organisation.keys());
    if (keyWithdrawn) {
      keys.remove(Site.firstKey(Site.ROTATING));
    }
    if (organisation.name().equals(Site.EXTRA_KEY_OWNER)) {
      extraKey.ifPresent(keys::add);
    }
    return keys;
  }
}
