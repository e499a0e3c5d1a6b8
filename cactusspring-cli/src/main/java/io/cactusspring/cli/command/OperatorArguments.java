package io.cactusspring.cli.command;

import static io.cactusspring.cli.command.SubcommandArguments.add;
import static io.cactusspring.cli.command.SubcommandArguments.addConnection;
import static io.cactusspring.cli.command.SubcommandArguments.addFlag;
import static io.cactusspring.cli.command.SubcommandArguments.addMillis;
import static io.cactusspring.cli.command.SubcommandArguments.path;
import static io.cactusspring.cli.command.SubcommandArguments.text;

import io.cactusspring.core.model.Arguments;
import java.nio.file.Path;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Arguments of the subcommands for operators. */
final class OperatorArguments {
  private OperatorArguments() {}

  static void define(Subparsers parent) {
    defineNote(parent);
    defineKey(parent);
    defineConfig(parent);
    defineWithoutArguments(
        parent,
        "teams",
        "list teams, their limits and the number of their runs",
        new Command.Teams());
    defineWithoutArguments(parent, "keys", "list keys", new Command.Config(Optional.of("key")));
    defineWithoutArguments(
        parent, "workers", "list workers and their committed resources", new Command.Workers());
    defineWithoutArguments(
        parent, "queue", "list the waiting runs and the reasons", new Command.Queue());
    defineWithoutArguments(
        parent, "status", "show the state of one entry host", new Command.Status());
    defineWithoutArguments(
        parent, "drain", "shut one entry host down gracefully", new Command.Drain());
    add(parent, "version", "print the version of this tool", "version", a -> new Command.Version());
  }

  private static void defineWithoutArguments(
      Subparsers parent, String name, String help, Command command) {
    addConnection(
        add(
            parent,
            name,
            help,
            name + " --host http://127.0.0.1:9001 --key-file ops.key",
            a -> command));
  }

  private static void defineNote(Subparsers parent) {
    Subparsers note =
        parent
            .addParser("note")
            .help("check, apply and follow release notes")
            .description("check, apply and follow release notes")
            .addSubparsers()
            .title("subcommands")
            .metavar("COMMAND");
    Subparser check =
        addConnection(
            add(
                note,
                "check",
                "show what a note would change and whether it would be accepted",
                "note check add-team.json --key-file ops.key",
                a -> new Command.NoteCheck(file(a), text(a, "id"))));
    addNoteFile(check);
    Subparser apply =
        addConnection(
            add(
                note,
                "apply",
                "send a note and print the revision with which it takes effect",
                "note apply add-team.json --wait 4000 --key-file ops.key",
                a -> new Command.NoteApply(file(a), text(a, "id"), a.getLong("wait"))));
    addNoteFile(apply);
    addMillis(apply, "--wait", 0, "maximum wait until the revision is in force on all entry hosts");
    Subparser status =
        addConnection(
            add(
                note,
                "status",
                "show which revision is in force on each entry host",
                "note status --revision 17 --wait 4000 --key-file ops.key",
                a -> new Command.NoteStatus(a.getLong("revision"), a.getLong("wait"))));
    status
        .addArgument("--revision")
        .type(Long.class)
        .setDefault(0L)
        .metavar("N")
        .help("revision to look for (default: the newest known)");
    addMillis(
        status, "--wait", 0, "maximum wait until the revision is in force on all entry hosts");
  }

  private static void addNoteFile(Subparser parser) {
    parser.addArgument("file").metavar("FILE").help("release note, in JSON with comments");
    parser
        .addArgument("--id")
        .metavar("ID")
        .help(
            "id of the note; sent twice, it takes effect once (default: the file's or generated)");
  }

  private static Path file(Namespace a) {
    return path(a, "file").orElseThrow();
  }

  private static void defineKey(Subparsers parent) {
    Subparsers key =
        parent
            .addParser("key")
            .help("create keys")
            .description("create keys")
            .addSubparsers()
            .title("subcommands")
            .metavar("COMMAND");
    Subparser p =
        add(
            key,
            "new",
            "create a key file and print the entry for a release note",
            "key new shop --team counter --out shop.key",
            OperatorArguments::keyNew);
    p.addArgument("name").metavar("NAME").help("name of the key");
    p.addArgument("--team").metavar("TEAM").help("team of the key");
    addFlag(p, "--operator", "an operator's key instead of a team's");
    addFlag(p, "--bootstrap", "an operator's key, printed for the settings of an entry host");
    p.addArgument("--out").metavar("FILE").help("key file to write (default: NAME.key)");
  }

  private static Command keyNew(Namespace a) {
    String name = Arguments.checkName("key", a.getString("name"));
    Optional<String> team = text(a, "team");
    boolean operator = a.getBoolean("operator") || a.getBoolean("bootstrap");
    if (team.isPresent() == operator) {
      throw new IllegalArgumentException("expected either --team TEAM, --operator or --bootstrap");
    }
    Path out = path(a, "out").orElse(Path.of(name + ".key"));
    return new Command.KeyNew(name, team, out, a.getBoolean("bootstrap"));
  }

  private static void defineConfig(Subparsers parent) {
    Subparser p =
        addConnection(
            add(
                parent,
                "config",
                "list the items of the configuration in force with their revisions",
                "config --kind service --key-file ops.key",
                a -> new Command.Config(text(a, "kind"))));
    p.addArgument("--kind").choices("zone", "team", "key", "service").help("only this kind");
  }
}
