package io.cactusspring.jobs.schedule;

import static com.google.common.truth.Truth.assertWithMessage;

import io.cactusspring.core.model.Resources;
import io.cactusspring.jobs.ledger.JobEntry;
import io.cactusspring.jobs.model.AdviceSettings;
import io.cactusspring.jobs.model.ExecutorInfo;
import io.cactusspring.jobs.model.JobSpec;
import io.cactusspring.jobs.model.Organisation;
import io.cactusspring.jobs.model.Queue;
import io.cactusspring.jobs.model.SiteConfiguration;
import io.cactusspring.jobs.model.StepId;
import io.cactusspring.jobs.model.StepSpec;
import io.cactusspring.jobs.model.ZoneStates;
import io.cactusspring.jobs.port.ExecutorClient.ActiveRun;
import io.cactusspring.jobs.port.ExecutorClient.CommandResult;
import io.cactusspring.jobs.port.ExecutorClient.EndReason;
import io.cactusspring.jobs.port.ExecutorClient.EndedRun;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalRequest;
import io.cactusspring.jobs.port.ExecutorClient.LeaseRenewalResult;
import io.cactusspring.jobs.port.ExecutorClient.Refusal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Drives the scheduler with random events and compares each round with a search among all
 * executors. Guards against steps that wait for ever because an executor became usable unnoticed.
 */
final class IncrementalSearchTest {
  private static final int SEEDS = Integer.getInteger("cactusspring.fuzz", 60);
  private static final long FIRST_SEED = Long.getLong("cactusspring.fuzz.first", 1);
  private static final int ROUNDS = 250;
  private static final AdviceSettings ADVICE = new AdviceSettings(20, 1, 1_500);
  private static final List<String> ZONES = List.of("p", "q");

  private static final class Driver {
    private final Random random;
    private final Map<String, JobSpec> specs = new LinkedHashMap<>();
    private final Map<String, List<RunKey>> running = new HashMap<>();
    private final Map<String, Long> ends = new HashMap<>();
    private final Map<String, Long> boots = new LinkedHashMap<>();
    private final Map<StepId, Action.RequestAdvice> advice = new LinkedHashMap<>();
    private final List<Action.Start> unsent = new ArrayList<>();
    private final JobScheduler scheduler;
    private long now = 100_000;

    Driver(long seed, Set<Mechanism> disabled) {
      random = new Random(seed);
      scheduler =
          new JobScheduler(
              SchedulerSettings.builder().evacuateMillis(5_000).disabled(disabled).build(),
              1,
              List.of(),
              id -> Optional.ofNullable(specs.get(id)),
              (kind, job, subject, reason) -> {},
              now,
              now);
      scheduler.zonesConfirmed(now);
      configure();
      for (int i = 0; i < 5; i++) {
        boots.put("x" + i, now + i);
        announce("x" + i);
        report("x" + i);
      }
    }

    private static Queue queue(String name, int priority, boolean advised) {
      AdviceSettings settings = advised ? ADVICE : null;
      return new Queue(
          name, "host", "/" + name + "/", "svc", priority, 3, 1.5, 250, settings, false);
    }

    private void configure() {
      int limit = random.nextBoolean() ? 0 : 2_000 + random.nextInt(8_000);
      Organisation team = new Organisation("team", Set.of(), 1, new Resources(limit, 0, 0));
      scheduler.configure(
          new SiteConfiguration(
              1,
              List.of(queue("q0", 0, random.nextBoolean()), queue("q1", 1, random.nextBoolean())),
              List.of(),
              List.of(team)));
    }

    private void announce(String id) {
      Resources capacity = new Resources(2_000 + random.nextInt(3) * 1_000, 8_000, 0);
      Set<String> labels = random.nextInt(3) == 0 ? Set.of() : Set.of("fast");
      boolean draining = random.nextInt(8) == 0;
      String zone = ZONES.get(Math.floorMod(id.hashCode(), 2));
      scheduler.executorListed(
          new ExecutorInfo(
              id, id + ":1", "svc", zone, draining, -1, capacity, labels, boots.get(id)),
          now);
    }

    private void report(String id) {
      List<EndedRun> ended = new ArrayList<>();
      List<RunKey> runs = running.computeIfAbsent(id, e -> new ArrayList<>());
      for (RunKey run : List.copyOf(runs)) {
        if (random.nextInt(4) == 0) {
          runs.remove(run);
          EndReason reason = random.nextInt(3) == 0 ? EndReason.FAILED : EndReason.DONE;
          long number = ends.merge(id, 1L, Long::sum);
          ended.add(new EndedRun(number, run.task(), run.number(), reason, ""));
        }
      }
      List<ActiveRun> active =
          runs.stream()
              .map(r -> new ActiveRun(r.task(), r.number(), "", random.nextInt(100), 0))
              .toList();
      answer(id, new LeaseRenewalResult.Report(now, boots.get(id), active, ended));
    }

    private void answer(String id, LeaseRenewalResult result) {
      if (!scheduler.state().executors.containsKey(id)
          || !scheduler.state().executors.get(id).isCallable()) {
        return;
      }
      LeaseRenewalRequest request = scheduler.leaseRenewalRequest(id, true, now);
      scheduler.leaseRenewalAnswered(id, request, now - 1, result, now);
    }

    private void renew(String id) {
      if (random.nextInt(4) > 0) {
        report(id);
      } else {
        answer(id, new LeaseRenewalResult.Unknown("no answer"));
      }
    }

    private void submit() {
      int steps = 1 + random.nextInt(2);
      List<StepSpec> specsOfSteps = new ArrayList<>();
      for (int i = 0; i < steps; i++) {
        specsOfSteps.add(
            StepSpec.builder()
                .tasks(1 + random.nextInt(3))
                .resources(new Resources(500 + random.nextInt(1_500), 100, 0))
                .after(i == 0 ? List.of() : List.of(i - 1))
                .gang(random.nextInt(4) == 0)
                .requiredLabel(random.nextInt(4) == 0 ? "fast" : "")
                .maxPerExecutor(random.nextInt(3))
                .longRunning(random.nextInt(8) == 0)
                .build());
      }
      String id = "j" + specs.size();
      Queue queue = queue("q" + random.nextInt(2), 0, false);
      JobSpec spec = new JobSpec(id, queue, "team", "p", specsOfSteps, 0, 0, 0, now);
      specs.put(id, spec);
      scheduler.submitted(JobEntry.submitted(spec), now, now);
    }

    private void change() {
      String id = "x" + random.nextInt(5);
      switch (random.nextInt(12)) {
        case 0 -> configure();
        case 1 -> announce(id);
        case 2 -> {
          boots.put(id, now);
          running.remove(id);
          ends.remove(id);
          announce(id);
        }
        case 3 -> scheduler.executorUnlisted(id);
        case 4 -> answer(id, new LeaseRenewalResult.Unknown("no answer"));
        case 5 -> answer(id, new LeaseRenewalResult.Refused(Refusal.OTHER_BOOT));
        case 6 -> {
          Set<String> evacuated = random.nextBoolean() ? Set.of("p") : Set.of();
          Map<String, Long> returned = evacuated.isEmpty() ? Map.of("p", now) : Map.of();
          scheduler.updateZones(new ZoneStates(evacuated, returned), now);
        }
        case 7 -> specs.keySet().stream().findAny().ifPresent(j -> scheduler.cancelled(j, now));
        default -> report(id);
      }
    }

    private void answerAdvice() {
      for (Action.RequestAdvice request : List.copyOf(advice.values())) {
        if (random.nextInt(3) > 0) {
          advice.remove(request.step());
          Map<String, String> tickets = new HashMap<>();
          request.executors().stream()
              .filter(e -> random.nextBoolean())
              .forEach(e -> tickets.put(e, "ticket"));
          if (random.nextInt(5) == 0) {
            scheduler.adviceFailed(request.step(), "no answer", now);
          } else {
            scheduler.adviceAnswered(request.step(), request.executors(), tickets, now - 30, now);
          }
        }
      }
    }

    private void send() {
      for (Action.Start start : List.copyOf(unsent)) {
        if (random.nextInt(4) == 0) {
          continue;
        }
        unsent.remove(start);
        if (scheduler.startRequest(start.executor(), start.run(), now).isEmpty()) {
          continue;
        }
        CommandResult result =
            switch (random.nextInt(8)) {
              case 0 -> new CommandResult.Unknown("no answer");
              case 1 -> new CommandResult.Refused(Refusal.NO_ROOM);
              case 2 -> new CommandResult.Refused(Refusal.STALE_RUN);
              default -> new CommandResult.Done(now);
            };
        if (result instanceof CommandResult.Done) {
          List<RunKey> runs = running.computeIfAbsent(start.executor(), e -> new ArrayList<>());
          if (!runs.contains(start.run())) {
            runs.add(start.run());
          }
        }
        scheduler.startAnswered(start.executor(), start.run(), result, now);
      }
    }

    private void execute(Action action) {
      switch (action) {
        case Action.Start start -> unsent.add(start);
        case Action.Stop stop -> {
          if (random.nextInt(3) > 0) {
            running.getOrDefault(stop.executor(), new ArrayList<>()).remove(stop.run());
            scheduler.stopAnswered(stop.executor(), stop.run(), new CommandResult.Done(now), now);
          }
        }
        case Action.Pace pace -> {}
        case Action.RequestAdvice request -> advice.put(request.step(), request);
      }
    }

    List<String> round() {
      now += 1 + random.nextInt(200);
      if (random.nextInt(20) > 0) {
        scheduler.zonesConfirmed(now);
      }
      if (random.nextInt(3) == 0) {
        submit();
      }
      change();
      answerAdvice();
      send();
      scheduler.decide(millis -> random.nextInt(4) > 0, now, now).forEach(this::execute);
      List<String> problems =
          ExclusionCheck.problems(scheduler.state(), Set.copyOf(advice.keySet()), now);
      scheduler.executorsToRenew(now).forEach(this::renew);
      return problems;
    }
  }

  @Test
  void searchFindsWhatASearchAmongAllExecutorsFinds() {
    check(Set.of(Mechanism.RESERVATIONS));
  }

  @Test
  void searchFindsAllButWhatIsKeptForGangs() {
    check(Set.of());
  }

  private static void check(Set<Mechanism> disabled) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Driver driver = new Driver(seed, disabled);
      for (int i = 0; i < ROUNDS; i++) {
        assertWithMessage("seed %s, round %s", seed, i).that(driver.round()).isEmpty();
      }
    }
  }
}
