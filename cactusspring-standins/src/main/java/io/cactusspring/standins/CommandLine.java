package io.cactusspring.standins;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The command line of the stand-ins. */
final class CommandLine {
  private static final int DEFAULT_RETAIN_RECORDS = 1_000_000;
  private static final long DEFAULT_MILLI_PROCESSORS = 64_000;
  private static final long DEFAULT_MEMORY_MIB = 262_144;
  private static final long DEFAULT_USAGE_LAG_MILLIS = 1_000;
  private static final int DEFAULT_SLOTS = 8;
  private static final int DEFAULT_CONNECTIONS = 60;
  private static final double DEFAULT_SERVICE_MILLIS = 2;
  private static final int DEFAULT_REQUESTS = 2_000;
  private static final int DEFAULT_CONCURRENCY = 4;

  private CommandLine() {}

  static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("standin")
            .build()
            .description("Runs a stand-in for a part of the platform.");
    Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
    addLog(commands);
    addHosts(commands);
    addWorker(commands);
    addExecutor(commands);
    addLoad(commands);
    return parser;
  }

  private static void addLog(Subparsers commands) {
    Subparser log = addServer(commands, "log", "the platform's append-only log");
    addInteger(log, "--retain", DEFAULT_RETAIN_RECORDS, "records kept");
  }

  private static void addHosts(Subparsers commands) {
    Subparser hosts = addServer(commands, "hosts", "the platform's host list");
    hosts.addArgument("--file").required(true).help("JSON file of the form of GET /hosts");
    addLong(hosts, "--lag-millis", 0, "time until a change shows");
  }

  private static void addWorker(Subparsers commands) {
    Subparser worker = addServer(commands, "worker", "the agents of workers");
    addCount(worker);
    addLong(worker, "--cpu", DEFAULT_MILLI_PROCESSORS, "thousandths of a processor in each");
    addLong(worker, "--memory", DEFAULT_MEMORY_MIB, "MiB in each");
    addInteger(worker, "--accelerators", 0, "accelerators in each");
    addLong(worker, "--usage-lag-millis", DEFAULT_USAGE_LAG_MILLIS, "lag of reported usage");
  }

  private static void addExecutor(Subparsers commands) {
    Subparser executor = addServer(commands, "executor", "the executors of a service");
    addCount(executor);
    addInteger(executor, "--slots", DEFAULT_SLOTS, "requests that each runs at once");
    addInteger(executor, "--connections", DEFAULT_CONNECTIONS, "connections that each takes");
    executor
        .addArgument("--service-millis")
        .type(Double.class)
        .setDefault(DEFAULT_SERVICE_MILLIS)
        .help("mean service time");
  }

  private static void addLoad(Subparsers commands) {
    Subparser load = commands.addParser("load").help("compares an entry host with an executor");
    load.addArgument("--direct").required(true).help("URL of the executor's execute call");
    load.addArgument("--entry").required(true).help("URL of the same service's requests call");
    load.addArgument("--key").help("KEYNAME.SECRET for the entry host");
    addInteger(load, "--requests", DEFAULT_REQUESTS, "requests sent on each of the two ways");
    addInteger(load, "--concurrency", DEFAULT_CONCURRENCY, "requests open at once");
  }

  private static Subparser addServer(Subparsers commands, String name, String help) {
    Subparser command = commands.addParser(name).help(help);
    command.addArgument("--listen").required(true).metavar("HOST:PORT");
    addLong(command, "--seed", 1, "seed of all that is drawn");
    return command;
  }

  private static void addCount(Subparser command) {
    command.addArgument("--name").setDefault("standin").help("name, or prefix of the names");
    addInteger(command, "--count", 1, "number served on consecutive ports");
  }

  private static void addInteger(Subparser command, String flag, int defaultValue, String help) {
    command.addArgument(flag).type(Integer.class).setDefault(defaultValue).help(help);
  }

  private static void addLong(Subparser command, String flag, long defaultValue, String help) {
    command.addArgument(flag).type(Long.class).setDefault(defaultValue).help(help);
  }
}
