package io.cactusspring.core.fuzz;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.sessions.JqwikSession;

/** Runs the fuzz of the core from a command line: seed, number of tries. */
public final class Prove {
  private Prove() {}

  public static void main(String[] args) {
    long seed = Long.parseLong(args[0]);
    int tries = Integer.parseInt(args[1]);
    long before = System.nanoTime();
    List<Fuzz.Failure> failures = new ArrayList<>();
    JqwikSession.run(() -> new Fuzz(seed, Guards.all()).run(tries).ifPresent(failures::add));
    long seconds = (System.nanoTime() - before) / 1_000_000_000;
    failures.forEach(System.out::println);
    String verdict = failures.isEmpty() ? "passed" : "FAILED";
    System.out.println(
        "core fuzz " + verdict + ": seed " + seed + ", " + tries + " tries, " + seconds + " s");
    System.exit(failures.isEmpty() ? 0 : 1);
  }
}
