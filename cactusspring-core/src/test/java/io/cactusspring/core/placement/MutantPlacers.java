package io.cactusspring.core.placement;

/** Placers with one rule disabled. */
public final class MutantPlacers {
  private MutantPlacers() {}

  /** Returns a placer that starts a gang although only some of its members fit. */
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
