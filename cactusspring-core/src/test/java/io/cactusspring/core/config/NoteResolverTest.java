package io.cactusspring.core.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cactusspring.core.model.Change;
import io.cactusspring.core.model.ConfigItem;
import io.cactusspring.core.model.ReleaseNote;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.TaskSpec;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class NoteResolverTest {
  private static final ConfigItem.Team COUNTER = new ConfigItem.Team("counter", 4, 200, false);
  private static final Configuration BASE = base();

  @Provide
  Arbitrary<List<Change>> changes() {
    Arbitrary<Integer> index = Arbitraries.integers().between(0, 3);
    Arbitrary<Integer> kind = Arbitraries.integers().between(0, 2);
    return Combinators.combine(index, kind, Arbitraries.integers().between(1, 50))
        .as(NoteResolverTest::change)
        .list()
        .ofMinSize(1)
        .ofMaxSize(3)
        .uniqueElements(Change::path);
  }

  @Property(tries = 500, seed = "20261204")
  void theFirstOfTwoNotesOnOneItemWinsInEitherOrder(
      @ForAll("changes") List<Change> a, @ForAll("changes") List<Change> b) {
    checkRace(a, b, Function.identity());
  }

  @Example
  void mutationRevisionIsNotComparedIsDetected() {
    List<Change> a = List.of(change(0, 1, 7));
    List<Change> b = List.of(change(0, 1, 9));
    assertThrows(
        AssertionError.class, () -> checkRace(a, b, c -> Configuration.of(5, BASE.items())));
  }

  @Example
  void conflictNamesTheItemItsRevisionItsNoteAndItsOperator() {
    Configuration next = accepted(BASE, 7, note("n2", "ops2", change(0, 1, 7)));
    Resolution r = NoteResolver.resolve(next, 8, note("n3", "ops3", change(0, 1, 9)));
    assertThat(r)
        .isEqualTo(
            new Resolution.Conflict(List.of(new ItemConflict("team/t0", 5, 7, "ops2", "n2"))));
  }

  @Example
  void noteWithOneInvalidChangeIsRejectedAsAWhole() {
    ConfigItem.Key orphan = new ConfigItem.Key("k1", "nobody", false, "aa", "bb");
    ReleaseNote n = note("n2", "ops", new Change.Add(COUNTER), new Change.Add(orphan));
    assertThat(NoteResolver.resolve(BASE, 7, n))
        .isEqualTo(
            new Resolution.Invalid(List.of("key/k1 names team nobody, which does not exist")));
  }

  @Example
  void teamThatStillHasKeysCannotBeWithdrawn() {
    ConfigItem.Key key = new ConfigItem.Key("k1", "t0", false, "aa", "bb");
    Configuration next = accepted(BASE, 7, note("n2", "ops", new Change.Add(key)));
    Resolution r =
        NoteResolver.resolve(next, 8, note("n3", "ops", new Change.Withdraw("team/t0", 5)));
    assertThat(r).isInstanceOf(Resolution.Invalid.class);
  }

  @Example
  void entryHostMayBelongToOneZoneOnly() {
    ReleaseNote n =
        note(
            "n2",
            "ops",
            new Change.Add(new ConfigItem.Zone("za", "riga", 1, List.of("h1"))),
            new Change.Add(new ConfigItem.Zone("zb", "riga", 1, List.of("h1"))));
    assertThat(NoteResolver.resolve(BASE, 7, n)).isInstanceOf(Resolution.Invalid.class);
  }

  @Example
  void replicasThatAreNotIdempotentAreRefused() {
    TaskSpec once = TaskSpec.builder(new Resources(1, 1, 0)).idempotent(false).build();
    ReleaseNote n =
        note(
            "n2",
            "ops",
            new Change.Add(new ConfigItem.Zone("za", "riga", 1, List.of("h1"))),
            new Change.Add(new ConfigItem.Service("s", "t0", 2, once)));
    assertThat(NoteResolver.resolve(BASE, 7, n)).isInstanceOf(Resolution.Invalid.class);
  }

  private static void checkRace(
      List<Change> a, List<Change> b, Function<Configuration, Configuration> seenBySecond) {
    ReleaseNote first = note("na", "opsa", a.toArray(Change[]::new));
    ReleaseNote second = note("nb", "opsb", b.toArray(Change[]::new));
    assertThat(isRefused(first, second, seenBySecond)).isEqualTo(overlap(a, b));
    assertThat(isRefused(second, first, seenBySecond)).isEqualTo(overlap(a, b));
  }

  private static boolean isRefused(
      ReleaseNote earlier, ReleaseNote later, Function<Configuration, Configuration> seenBySecond) {
    Configuration next = accepted(BASE, 7, earlier);
    Resolution r = NoteResolver.resolve(seenBySecond.apply(next), 8, later);
    return r instanceof Resolution.Conflict;
  }

  private static boolean overlap(List<Change> a, List<Change> b) {
    Set<String> paths = new HashSet<>(a.stream().map(Change::path).toList());
    return b.stream().map(Change::path).anyMatch(paths::contains);
  }

  private static Change change(int index, int kind, int limit) {
    ConfigItem.Team known = new ConfigItem.Team("t" + index, 1, limit, false);
    return switch (kind) {
      case 0 -> new Change.Add(new ConfigItem.Team("new" + index, 1, limit, false));
      case 1 -> new Change.Replace(known, 5);
      default -> new Change.Withdraw(known.path(), 5);
    };
  }

  private static Configuration base() {
    Change[] teams = {add(0), add(1), add(2), add(3)};
    return accepted(Configuration.EMPTY, 5, note("n1", "ops", teams));
  }

  private static Change add(int index) {
    return new Change.Add(new ConfigItem.Team("t" + index, 1, 10, false));
  }

  private static Configuration accepted(Configuration c, long offset, ReleaseNote note) {
    return ((Resolution.Accepted) NoteResolver.resolve(c, offset, note)).configuration();
  }

  private static ReleaseNote note(String id, String operator, Change... changes) {
    return new ReleaseNote(id, operator, List.of(changes));
  }
}
