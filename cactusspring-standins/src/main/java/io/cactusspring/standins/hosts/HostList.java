package io.cactusspring.standins.hosts;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** An immutable snapshot of the host list, as sent on the wire. */
record HostList(List<WorkerHost> workers, List<EndpointHost> endpoints) {
  HostList {
    workers = workers == null ? List.of() : List.copyOf(workers);
    endpoints = endpoints == null ? List.of() : List.copyOf(endpoints);
  }

  boolean contains(String name) {
    return Stream.concat(
            workers.stream().map(WorkerHost::name), endpoints.stream().map(EndpointHost::name))
        .anyMatch(Predicate.isEqual(name));
  }

  HostList withLeaving(String name, boolean leaving) {
    return new HostList(
        workers.stream().map(w -> w.name().equals(name) ? w.asLeaving(leaving) : w).toList(),
        endpoints.stream().map(e -> e.name().equals(name) ? e.asLeaving(leaving) : e).toList());
  }

  HostList without(String name) {
    return new HostList(
        workers.stream().filter(w -> !w.name().equals(name)).toList(),
        endpoints.stream().filter(e -> !e.name().equals(name)).toList());
  }

  /** Returns this list with the given hosts added; they replace hosts of the same name. */
  HostList withAdded(HostList added) {
    return new HostList(
        Stream.concat(
                workers.stream().filter(w -> !added.contains(w.name())), added.workers.stream())
            .toList(),
        Stream.concat(
                endpoints.stream().filter(e -> !added.contains(e.name())), added.endpoints.stream())
            .toList());
  }
}
