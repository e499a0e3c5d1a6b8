package io.cactusspring.core.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * One item of the configuration that operators change with release notes.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ConfigItem.Zone.class, name = "zone"),
  @JsonSubTypes.Type(value = ConfigItem.Team.class, name = "team"),
  @JsonSubTypes.Type(value = ConfigItem.Key.class, name = "key"),
  @JsonSubTypes.Type(value = ConfigItem.Service.class, name = "service")
})
public sealed interface ConfigItem {
  /** Name, unique among the items of its kind. */
  String name();

  /** Identity of the item across changes, written {@code kind/name}. */
  @JsonIgnore
  default String path() {
    return switch (this) {
      case Zone z -> "zone/" + z.name();
      case Team t -> "team/" + t.name();
      case Key k -> "key/" + k.name();
      case Service s -> "service/" + s.name();
    };
  }

  /**
   * An availability zone, its entry hosts and the number of shards of its workers.
   *
   * @param region name of the region; zones of one region are close to each other
   */
  record Zone(String name, String region, int shards, List<String> entryHosts)
      implements ConfigItem {
    /**
     * @throws IllegalArgumentException if a field is malformed
     */
    public Zone {
      Arguments.checkName("zone", name);
      Arguments.checkName("region", region);
      Arguments.checkRange("shards", shards, 1, 64);
      Arguments.checkPresent("entryHosts", entryHosts);
      entryHosts.forEach(h -> Arguments.checkName("entry host", h));
      entryHosts = List.copyOf(entryHosts);
    }
  }

  /**
   * A team, or an open queue that any caller may use.
   *
   * @param share weight of the team under contention: capacity is divided among the waiting teams
   *     in proportion to their weights
   * @param maxRunning upper limit on tasks running plus requests in flight, across the whole cell
   * @param open whether work is accepted without a key
   */
  record Team(String name, int share, int maxRunning, boolean open) implements ConfigItem {
    /**
     * @throws IllegalArgumentException if a field is out of range
     */
    public Team {
      Arguments.checkName("team", name);
      Arguments.checkRange("share", share, 1, 1_000_000);
      Arguments.checkRange("maxRunning", maxRunning, 0, 10_000_000);
    }
  }

  /**
   * A key of a team or of an operator. Only a salted hash of the secret is stored.
   *
   * @param team the team whose work is accepted with the key; null for an operator's key
   * @param salt hexadecimal
   * @param hash hexadecimal SHA-256 of salt and secret
   */
  record Key(String name, String team, boolean operator, String salt, String hash)
      implements ConfigItem {
    /**
     * @throws IllegalArgumentException if a field is missing or the key has no owner
     */
    public Key {
      Arguments.checkName("key", name);
      if ((team == null) == !operator) {
        throw new IllegalArgumentException(
            "key " + name + " needs either a team or operator: true, and not both");
      }
      Arguments.checkPresent("salt", salt);
      Arguments.checkPresent("hash", hash);
    }
  }

  /**
   * A long-running service: replicas on workers, or requests routed to executors, or both.
   *
   * @param replicas tasks to keep running on workers; 0 for a service with executors only
   * @param task what each replica needs; null when there are no replicas
   */
  record Service(String name, String team, int replicas, TaskSpec task) implements ConfigItem {
    /**
     * @throws IllegalArgumentException if a field is out of range
     */
    public Service {
      Arguments.checkName("service", name);
      Arguments.checkName("team", team);
      Arguments.checkRange("replicas", replicas, 0, 100_000);
      if (replicas > 0) {
        Arguments.checkPresent("task of service " + name, task);
      }
    }
  }
}
