package io.cactusspring.core.config;

import io.cactusspring.core.model.AvailabilityZone;
import io.cactusspring.core.model.BudgetAccount;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.ShardId;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The configuration items in force at one revision.
 *
 * <pre>{@code
 * int limit = configuration.team("counter").map(ConfigItem.Team::maxRunning).orElse(0);
 * }</pre>
 *
 * @since 0.1
 */
public final class Configuration {
  public static final Configuration EMPTY = new Configuration(0, new TreeMap<>());

  private final long revision;
  private final SortedMap<String, RevisionedItem> items;

  private Configuration(long revision, SortedMap<String, RevisionedItem> items) {
    this.revision = revision;
    this.items = Collections.unmodifiableSortedMap(items);
  }

  /** Returns a configuration of the given items, keyed by their path. */
  public static Configuration of(long revision, Map<String, RevisionedItem> items) {
    return new Configuration(revision, new TreeMap<>(items));
  }

  /** Returns the offset of the last accepted note; 0 before the first. */
  public long revision() {
    return revision;
  }

  /** Returns all items by path, in order of their paths. */
  public SortedMap<String, RevisionedItem> items() {
    return items;
  }

  /** Returns the revision of the item at a path, or 0 if there is none. */
  public long revisionOf(String path) {
    RevisionedItem r = items.get(path);
    return r == null ? 0 : r.revision();
  }

  public Optional<ConfigItem.Team> team(String name) {
    return find("team/" + name, ConfigItem.Team.class);
  }

  public Optional<ConfigItem.Key> key(String name) {
    return find("key/" + name, ConfigItem.Key.class);
  }

  public Optional<ConfigItem.Service> service(String name) {
    return find("service/" + name, ConfigItem.Service.class);
  }

  public List<ConfigItem.Team> teams() {
    return itemsOf(ConfigItem.Team.class).toList();
  }

  public List<ConfigItem.Key> keys() {
    return itemsOf(ConfigItem.Key.class).toList();
  }

  public List<ConfigItem.Service> services() {
    return itemsOf(ConfigItem.Service.class).toList();
  }

  public List<ConfigItem.Zone> zones() {
    return itemsOf(ConfigItem.Zone.class).toList();
  }

  /** Returns all shards of all zones, in order. */
  public List<ShardId> shards() {
    return zones().stream().flatMap(Configuration::shardsOf).sorted().toList();
  }

  /** Returns the number of shards of a zone; 0 if there is no such zone. */
  public int shardsOf(String zone) {
    return find("zone/" + zone, ConfigItem.Zone.class).map(ConfigItem.Zone::shards).orElse(0);
  }

  /** Returns all accounts among which the teams' limits are split, in order. */
  public List<BudgetAccount> accounts() {
    Stream<BudgetAccount> shards = shards().stream().map(BudgetAccount::of);
    Stream<BudgetAccount> hosts =
        zones().stream()
            .map(ConfigItem.Zone::entryHosts)
            .flatMap(Collection::stream)
            .map(BudgetAccount::ofHost);
    return Stream.concat(shards, hosts).sorted().distinct().toList();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Configuration c && revision == c.revision && items.equals(c.items);
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(revision) + items.hashCode();
  }

  @Override
  public String toString() {
    return "revision " + revision + " " + items.keySet();
  }

  private static Stream<ShardId> shardsOf(ConfigItem.Zone zone) {
    AvailabilityZone z = new AvailabilityZone(zone.name());
    return IntStream.range(0, zone.shards()).mapToObj(i -> new ShardId(z, i));
  }

  private <T extends ConfigItem> Optional<T> find(String path, Class<T> kind) {
    return Optional.ofNullable(items.get(path)).map(RevisionedItem::item).map(kind::cast);
  }

  private <T extends ConfigItem> Stream<T> itemsOf(Class<T> kind) {
    return items.values().stream()
        .map(RevisionedItem::item)
        .filter(kind::isInstance)
        .map(kind::cast);
  }
}
