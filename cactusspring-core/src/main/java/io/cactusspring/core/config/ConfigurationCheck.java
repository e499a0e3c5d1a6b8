package io.cactusspring.core.config;

import io.cactusspring.core.model.ConfigItem;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Checks the rules that hold between the items of a configuration. */
final class ConfigurationCheck {
  private ConfigurationCheck() {}

  static List<String> problems(Configuration next) {
    return Stream.of(keyProblems(next), serviceProblems(next), hostProblems(next))
        .flatMap(List::stream)
        .toList();
  }

  /** Returns violations of the rules on what a single note may change. */
  static List<String> problemsOfChange(Configuration current, Configuration next) {
    return next.services().stream()
        .filter(s -> current.service(s.name()).filter(c -> !c.team().equals(s.team())).isPresent())
        .map(
            s ->
                "service/"
                    + s.name()
                    + " changes its team to "
                    + s.team()
                    + "; expected withdrawal of the service and then its addition")
        .toList();
  }

  private static List<String> keyProblems(Configuration next) {
    return next.keys().stream()
        .filter(k -> k.team() != null && next.team(k.team()).isEmpty())
        .map(k -> "key/" + k.name() + " names team " + k.team() + ", which does not exist")
        .toList();
  }

  private static List<String> serviceProblems(Configuration next) {
    return next.services().stream().flatMap(s -> problemsOf(next, s)).toList();
  }

  private static Stream<String> problemsOf(Configuration next, ConfigItem.Service s) {
    List<String> found = new ArrayList<>();
    if (next.team(s.team()).isEmpty()) {
      found.add("service/" + s.name() + " names team " + s.team() + ", which does not exist");
    }
    if (s.replicas() > 0 && next.zones().isEmpty()) {
      found.add("service/" + s.name() + " has replicas; expected a zone for them");
    }
    if (s.replicas() > 0 && !s.task().idempotent()) {
      found.add(
          "service/"
              + s.name()
              + " has a task that is not idempotent; expected an idempotent one, because a replica"
              + " that ends is started again");
    }
    return found.stream();
  }

  private static List<String> hostProblems(Configuration next) {
    Map<String, String> zoneOf = new HashMap<>();
    List<String> found = new ArrayList<>();
    for (ConfigItem.Zone z : next.zones()) {
      for (String host : z.entryHosts()) {
        String other = zoneOf.putIfAbsent(host, z.name());
        if (other != null) {
          found.add("entry host " + host + " is listed in zones " + other + " and " + z.name());
        }
      }
    }
    return found;
  }
}
