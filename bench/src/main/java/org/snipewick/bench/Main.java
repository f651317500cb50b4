package org.snipewick.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import org.snipewick.bench.cluster.ClassArchives;
import org.snipewick.bench.cost.CostBench;
import org.snipewick.bench.policy.PolicyBench;
import org.snipewick.bench.response.ResponseBench;
import org.snipewick.bench.soak.Soak;

/** Command line of {@code run-bench}, with one command for each kind of measurement. */
public final class Main {
  private static final int EXIT_USAGE_ERROR = 2;
  private static final int EXIT_GUARANTEE_VIOLATED = 1;

  private Main() {}

  /**
   * Runs the given command, or prints the usage if there is none or with --help. Ends the process
   * with exit code 2 if the arguments are invalid, and 1 if a soak run reports a violation.
   *
   * @param arguments command, followed by its options
   */
  public static void main(String[] arguments) {
    PolicyCommand policy = new PolicyCommand();
    HelpOption help = new HelpOption();
    JCommander commands = JCommander.newBuilder().programName("run-bench").addObject(help).build();
    commands.addCommand("policy", policy);
    CostCommand cost = new CostCommand();
    commands.addCommand("cost", cost);
    SoakCommand soak = new SoakCommand();
    commands.addCommand("soak", soak);
    ResponsesCommand responses = new ResponsesCommand();
    commands.addCommand("responses", responses);
    commands.addCommand("archive", new ArchiveCommand());
    try {
      commands.parse(arguments);
    } catch (ParameterException failure) {
      System.err.println(failure.getMessage());
      System.exit(EXIT_USAGE_ERROR);
      return;
    }
    boolean isHelp = help.help || policy.help || cost.help || soak.help || responses.help;
    if (isHelp || commands.getParsedCommand() == null) {
      commands.usage();
      return;
    }
    if (commands.getParsedCommand().equals("archive")) {
      ClassArchives.create();
      return;
    }
    if (commands.getParsedCommand().equals("cost")) {
      new CostBench(cost.seconds, cost.json, System.out).run(cost.series);
      return;
    }
    if (commands.getParsedCommand().equals("responses")) {
      new ResponseBench(responses.seconds, System.out).run();
      return;
    }
    if (commands.getParsedCommand().equals("soak")) {
      boolean guaranteesKept =
          Soak.of(soak.seed, Duration.ofSeconds(soak.seconds)).run(System.out).isEmpty();
      System.exit(guaranteesKept ? 0 : EXIT_GUARANTEE_VIOLATED);
      return;
    }
    new PolicyBench(policy.seed).run(policy.caseName, policy.policyName, policy.json, System.out);
  }

  @Parameters(commandDescription = "Make the class-data archives of the binaries")
  private static final class ArchiveCommand {}

  private static final class HelpOption {
    @Parameter(names = "--help", help = true, description = "Print this text")
    private boolean help;
  }

  @Parameters(commandDescription = "Measure scheduling policies in virtual time")
  private static final class PolicyCommand {
    @Parameter(names = "--seed", description = "Seed of arrivals and random choices")
    private long seed = 1;

    @Parameter(names = "--json", description = "Print a JSON object a row")
    private boolean json;

    @Parameter(names = "--case", description = "Run only this case")
    private String caseName = "";

    @Parameter(names = "--policy", description = "Run only this policy and the ideal")
    private String policyName = "";

    @Parameter(names = "--help", help = true, description = "Print this text")
    private boolean help;
  }

  @Parameters(commandDescription = "Run real processes under randomized faults, check promises")
  private static final class SoakCommand {
    @Parameter(names = "--seed", description = "Seed of faults and callers")
    private long seed = 1;

    @Parameter(names = "--seconds", description = "Time during which faults begin")
    private int seconds = 60;

    @Parameter(names = "--help", help = true, description = "Print this text")
    private boolean help;
  }

  @Parameters(commandDescription = "Measure the HTTP client that receives responses")
  private static final class ResponsesCommand {
    @Parameter(names = "--seconds", description = "Length of each measurement")
    private int seconds = 10;

    @Parameter(names = "--help", help = true, description = "Print this text")
    private boolean help;
  }

  @Parameters(commandDescription = "Measure what control and requests cost, with real processes")
  private static final class CostCommand {
    @Parameter(names = "--seconds", description = "Length of each measurement")
    private int seconds = 10;

    @Parameter(names = "--series", description = "Run only this series")
    private String series = "";

    @Parameter(names = "--json", description = "Print a JSON object a row")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "Print this text")
    private boolean help;
  }
}
