package io.cactusspring.cli.command;

import static io.cactusspring.cli.command.SubcommandArguments.add;
import static io.cactusspring.cli.command.SubcommandArguments.addConnection;
import static io.cactusspring.cli.command.SubcommandArguments.addFlag;
import static io.cactusspring.cli.command.SubcommandArguments.addMillis;
import static io.cactusspring.cli.command.SubcommandArguments.path;
import static io.cactusspring.cli.command.SubcommandArguments.text;

import io.cactusspring.core.model.Arguments;
import io.cactusspring.core.model.Resources;
import io.cactusspring.core.model.Submission;
import io.cactusspring.core.model.TaskSpec;
import io.cactusspring.core.model.Urgency;
import java.util.Locale;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Arguments of the subcommands for callers. */
final class CallerArguments {
  private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
  private static final long MAX_DEADLINE_MILLIS = 120_000;
  private static final long DEFAULT_WATCH_TIMEOUT_MILLIS = 600_000;
  private static final long DEFAULT_POLL_INTERVAL_MILLIS = 500;
  private static final long MAX_WAIT_MILLIS = 7L * 24 * 3_600_000;

  private CallerArguments() {}

  static void define(Subparsers parent) {
    defineRequest(parent);
    defineSubmit(parent, false);
    defineSubmit(parent, true);
    defineWatch(parent);
    defineIdCommand(
        parent,
        "outcome",
        "print the state or the outcome of a submission",
        Command.SubmissionOutcome::new);
    defineIdCommand(parent, "cancel", "cancel a submission", Command.Cancel::new);
    defineIdCommand(
        parent, "explain", "print why a run or a submission is waiting", Command.Explain::new);
  }

  private static void defineRequest(Subparsers parent) {
    Subparser p =
        addConnection(
            add(
                parent,
                "request",
                "send one request to a service and print the response",
                "request ordering --body 'clippers?' --idempotent --key-file shop.key",
                CallerArguments::request));
    p.addArgument("service").metavar("SERVICE").help("name of the service");
    p.addArgument("--body").metavar("TEXT").help("body of the request (default: empty)");
    p.addArgument("--body-file").metavar("FILE").help("file with the body; - for standard input");
    p.addArgument("--id").metavar("ID").help("id of the request (default: generated)");
    p.addArgument("--queue").metavar("NAME").help("open queue to use instead of a key");
    addFlag(p, "--idempotent", "the request may run more than once; it is resent after a failure");
    addMillis(
        p,
        "--deadline",
        DEFAULT_DEADLINE_MILLIS,
        "time after which the response is no longer needed");
  }

  private static Command request(Namespace a) {
    long deadline = a.getLong("deadline");
    Arguments.checkRange("deadline", deadline, 1, MAX_DEADLINE_MILLIS);
    return new Command.Request(
        Arguments.checkName("service", a.getString("service")),
        body(a),
        text(a, "id"),
        a.getBoolean("idempotent"),
        deadline,
        text(a, "queue"));
  }

  private static Command.Body body(Namespace a) {
    Optional<String> text = text(a, "body");
    Optional<String> file = text(a, "body_file");
    if (text.isPresent() && file.isPresent()) {
      throw new IllegalArgumentException("both --body and --body-file given; expected one");
    }
    if (file.isPresent()) {
      return file.get().equals("-")
          ? new Command.Body.StandardInput()
          : new Command.Body.InFile(path(a, "body_file").orElseThrow());
    }
    return new Command.Body.Text(text.orElse(""));
  }

  private static void defineSubmit(Subparsers parent, boolean gang) {
    String name = gang ? "gang" : "submit";
    String help =
        gang ? "submit a job whose tasks start together" : "submit a batch of independent runs";
    Subparser p =
        addConnection(
            add(
                parent,
                name,
                help,
                name + " --tasks 3 --cpus 1 --memory 512 --expected 2000 --key-file shop.key",
                a -> submit(a, gang)));
    p.addArgument("--id")
        .metavar("ID")
        .help("id of the submission; sent twice with one id, it takes effect once");
    p.addArgument("--team").metavar("TEAM").help("team or open queue (default: the key's team)");
    p.addArgument("--tasks").type(Integer.class).setDefault(1).metavar("N").help("number of tasks");
    p.addArgument("--cpus")
        .type(Double.class)
        .setDefault(1.0)
        .metavar("N")
        .help("processors of each task (default: 1)");
    p.addArgument("--memory")
        .type(Long.class)
        .setDefault(256L)
        .metavar("MIB")
        .help("memory of each task in MiB (default: 256)");
    p.addArgument("--accelerators")
        .type(Integer.class)
        .setDefault(0)
        .metavar("N")
        .help("accelerators of each task (default: 0)");
    addMillis(p, "--expected", 0, "declared run time of a task; 0 for a task without end");
    addFlag(p, "--once", "a task must not run twice, even if its outcome is unknown");
    addFlag(p, "--checkpointable", "a task can be checkpointed and continued elsewhere");
    p.addArgument("--urgency")
        .choices("urgent", "normal", "background")
        .setDefault("normal")
        .help("how soon the tasks have to start (default: normal)");
    p.addArgument("--payload").setDefault("").metavar("TEXT").help("text passed to the worker");
  }

  private static Command submit(Namespace a, boolean gang) {
    int tasks = a.getInt("tasks");
    Arguments.checkRange("tasks", tasks, 1, Submission.MAX_TASKS);
    Resources resources =
        new Resources(
            Math.round(a.getDouble("cpus") * 1_000), a.getLong("memory"), a.getInt("accelerators"));
    TaskSpec task =
        TaskSpec.builder(resources)
            .expectedMillis(a.getLong("expected"))
            .idempotent(!a.getBoolean("once"))
            .checkpointable(a.getBoolean("checkpointable"))
            .urgency(Urgency.valueOf(a.getString("urgency").toUpperCase(Locale.ROOT)))
            .payload(a.getString("payload"))
            .build();
    text(a, "id").ifPresent(i -> Arguments.checkName("submission id", i));
    return new Command.Submit(text(a, "id"), text(a, "team"), gang, tasks, task);
  }

  private static void defineWatch(Subparsers parent) {
    Subparser p =
        addConnection(
            add(
                parent,
                "watch",
                "wait until a submission has ended and print its outcome",
                "watch restock-monday --timeout 60000 --key-file shop.key",
                CallerArguments::watch));
    p.addArgument("id").metavar("ID").help("id of the submission");
    addMillis(p, "--timeout", DEFAULT_WATCH_TIMEOUT_MILLIS, "maximum wait");
    addMillis(p, "--interval", DEFAULT_POLL_INTERVAL_MILLIS, "polling interval");
  }

  private static Command watch(Namespace a) {
    long timeout = a.getLong("timeout");
    long interval = a.getLong("interval");
    Arguments.checkRange("timeout", timeout, 0, MAX_WAIT_MILLIS);
    Arguments.checkRange("interval", interval, 10, MAX_WAIT_MILLIS);
    return new Command.Watch(submissionId(a), timeout, interval);
  }

  private static void defineIdCommand(
      Subparsers parent, String name, String help, IdCommand command) {
    Subparser p =
        addConnection(
            add(
                parent,
                name,
                help,
                name + " restock-monday --key-file shop.key",
                a -> command.create(submissionId(a))));
    p.addArgument("id").metavar("ID").help("id of the submission, or of one of its runs");
  }

  /** Creates a command from the id of a submission. */
  @FunctionalInterface
  private interface IdCommand {
    Command create(String id);
  }

  private static String submissionId(Namespace a) {
    return a.getString("id");
  }
}
