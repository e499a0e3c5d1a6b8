package io.cactusspring.standins;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Defines the command line of the stand-ins. */
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
            .description("Runs a stand-in for one platform component, or a load test.");
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
    addInteger(log, "--retain", DEFAULT_RETAIN_RECORDS, "number of records retained");
  }

  private static void addHosts(Subparsers commands) {
    Subparser hosts = addServer(commands, "hosts", "the platform's host list");
    hosts
        .addArgument("--file")
        .required(true)
        .help("JSON file in the format of the GET /hosts response");
    addLong(hosts, "--lag-millis", 0, "delay in ms before a change is published");
  }

  private static void addWorker(Subparsers commands) {
    Subparser worker = addServer(commands, "worker", "the agents of workers");
    addCount(worker);
    addLong(worker, "--cpu", DEFAULT_MILLI_PROCESSORS, "milliprocessors per worker");
    addLong(worker, "--memory", DEFAULT_MEMORY_MIB, "memory per worker in MiB");
    addInteger(worker, "--accelerators", 0, "accelerators per worker");
    addLong(
        worker,
        "--usage-lag-millis",
        DEFAULT_USAGE_LAG_MILLIS,
        "delay in ms before the usage of a task is reported");
  }

  private static void addExecutor(Subparsers commands) {
    Subparser executor = addServer(commands, "executor", "the executors of a service");
    addCount(executor);
    addInteger(executor, "--slots", DEFAULT_SLOTS, "concurrent requests per executor");
    addInteger(
        executor, "--connections", DEFAULT_CONNECTIONS, "maximum open connections per executor");
    executor
        .addArgument("--service-millis")
        .type(Double.class)
        .setDefault(DEFAULT_SERVICE_MILLIS)
        .help("mean service time in ms");
  }

  private static void addLoad(Subparsers commands) {
    Subparser load =
        commands.addParser("load").help("compares latency through an entry host with direct calls");
    load.addArgument("--direct").required(true).help("URL of the executor's execute endpoint");
    load.addArgument("--entry")
        .required(true)
        .help("URL of the entry host's requests endpoint for the same service");
    load.addArgument("--key").help("API key for the entry host, as KEYNAME.SECRET");
    addInteger(load, "--requests", DEFAULT_REQUESTS, "number of requests sent on each path");
    addInteger(load, "--concurrency", DEFAULT_CONCURRENCY, "number of concurrent requests");
  }

  private static Subparser addServer(Subparsers commands, String name, String help) {
    Subparser command = commands.addParser(name).help(help);
    command.addArgument("--listen").required(true).metavar("HOST:PORT");
    addLong(command, "--seed", 1, "seed of the random number generator");
    return command;
  }

  private static void addCount(Subparser command) {
    command
        .addArgument("--name")
        .setDefault("standin")
        .help("name, or name prefix if there are several");
    addInteger(command, "--count", 1, "number of instances, on consecutive ports");
  }

  private static void addInteger(Subparser command, String flag, int defaultValue, String help) {
    command.addArgument(flag).type(Integer.class).setDefault(defaultValue).help(help);
  }

  private static void addLong(Subparser command, String flag, long defaultValue, String help) {
    command.addArgument(flag).type(Long.class).setDefault(defaultValue).help(help);
  }
}
