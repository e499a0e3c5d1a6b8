package io.cactusspring.core.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.sessions.JqwikSession;

/**
 * Runs the fuzzer of the core from the command line. Arguments: seed, number of tries and,
 * optionally, the guard to switch off.
 */
public final class Prove {
  private Prove() {}

  public static void main(String[] args) {
    long seed = Long.parseLong(args[0]);
    int tries = Integer.parseInt(args[1]);
    Set<Guard> guards = args.length > 2 ? Guard.without(Guard.valueOf(args[2])) : Guard.all();
    long before = System.nanoTime();
    List<Fuzzer.Failure> failures = new ArrayList<>();
    JqwikSession.run(() -> new Fuzzer(seed, guards).run(tries).ifPresent(failures::add));
    long seconds = (System.nanoTime() - before) / 1_000_000_000;
    failures.forEach(System.out::println);
    String verdict = failures.isEmpty() ? "passed" : "FAILED";
    System.out.println(
        "core fuzz " + verdict + ": seed " + seed + ", " + tries + " tries, " + seconds + " s");
    System.exit(failures.isEmpty() ? 0 : 1);
  }
}
