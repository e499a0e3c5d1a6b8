package io.cactusspring.core.placement;

/** Placers with one rule switched off. */
public final class MutantPlacers {
  private MutantPlacers() {}

  /** Returns a placer that starts a gang of which only a part waits. */
  public static Placer startingPartsOfGangs(PlacementPolicy policy) {
    return new Placer(
        policy,
        new PlacementRules() {
          @Override
          boolean gangIsComplete(int found, int gangSize) {
            return true;
          }
        });
  }
}
