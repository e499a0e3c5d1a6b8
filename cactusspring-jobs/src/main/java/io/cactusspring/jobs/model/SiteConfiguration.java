package io.cactusspring.jobs.model;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the configuration that operators maintain: queues, services and teams.
 *
 * @since 0.2
 */
public final class SiteConfiguration {
  /** The empty configuration, version 0, used until one has been read. */
  public static final SiteConfiguration NONE =
      new SiteConfiguration(0, List.of(), List.of(), List.of());

  private final long version;
  private final Map<String, Queue> queues;
  private final List<Queue> longestPrefixFirst;
  private final Map<String, Organisation> organisations;
  private final Map<String, Organisation> organisationsByKey;
  private final Map<String, ServiceDefinition> services;

  public SiteConfiguration(
      long version,
      List<Queue> queues,
      List<ServiceDefinition> services,
      List<Organisation> organisations) {
    this.version = version;
    this.queues = index(queues, Queue::name);
    this.longestPrefixFirst =
        queues.stream()
            .sorted(Comparator.comparingInt((Queue q) -> -q.pathPrefix().length()))
            .toList();
    this.services = index(services, ServiceDefinition::name);
    this.organisations = index(organisations, Organisation::name);
    this.organisationsByKey =
        organisations.stream()
            .flatMap(o -> o.keys().stream().map(k -> Map.entry(k, o)))
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, (a, b) -> a));
  }

  private static <T> Map<String, T> index(List<T> items, Function<T, String> name) {
    return items.stream().collect(Collectors.toMap(name, Function.identity(), (a, b) -> b));
  }

  public long version() {
    return version;
  }

  /**
   * Returns the queue of a request: the one with the longest matching path prefix among those with
   * the given host name, compared without regard to case.
   */
  public Optional<Queue> route(String callerHost, String path) {
    return longestPrefixFirst.stream()
        .filter(q -> q.callerHost().equalsIgnoreCase(callerHost))
        .filter(q -> path.startsWith(q.pathPrefix()))
        .findFirst();
  }

  public Optional<Queue> queue(String name) {
    return Optional.ofNullable(queues.get(name));
  }

  public Optional<Organisation> organisation(String name) {
    return Optional.ofNullable(organisations.get(name));
  }

  /** Returns the team that an API key authenticates; empty if the key is unknown. */
  public Optional<Organisation> organisationOfKey(String key) {
    return Optional.ofNullable(organisationsByKey.get(key));
  }

  public Optional<ServiceDefinition> service(String name) {
    return Optional.ofNullable(services.get(name));
  }
}
