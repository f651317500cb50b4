package org.snipewick.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.snipewick.failure.FailureException;

/** Entry point of the program: parses the command line and runs the command that it names. */
public final class Main {
  private static final Set<String> COMMAND_GROUPS = Set.of("settings", "catalogue", "endpoint");

  private final Map<String, Command> commands = new LinkedHashMap<>();
  private final JCommander parser;
  private final GlobalOptions globalOptions = new GlobalOptions();

  private Main() {
    commands.put("entry", new EntryCommand());
    commands.put("front", new FrontCommand());
    commands.put("settings-check", new SettingsCheckCommand());
    commands.put("catalogue-get", new CatalogueCommands.Get());
    commands.put("catalogue-put", new CatalogueCommands.Put());
    commands.put("catalogue-history", new CatalogueCommands.History());
    commands.put("endpoint-load", new EndpointCommands.Load());
    commands.put("endpoint-unload", new EndpointCommands.Unload());
    commands.put("endpoint-role", new EndpointCommands.Role());
    commands.put("status", new StatusCommand());
    commands.put("timeline", new TimelineCommand());
    commands.put("explain", new ExplainCommand());
    commands.put("stop", new StopCommand());
    commands.put("version", new VersionCommand());
    JCommander.Builder builder = JCommander.newBuilder().programName("snipewick");
    builder.addObject(globalOptions);
    commands.forEach((name, command) -> builder.addCommand(name, command));
    parser = builder.build();
  }

  /**
   * Runs the program and ends the process with the command's exit code.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    System.exit(run(arguments, Console.system()).number());
  }

  static ExitCode run(String[] arguments, Console console) {
    return new Main().parseAndRun(joinCommandGroup(arguments), console);
  }

  private ExitCode parseAndRun(String[] arguments, Console console) {
    if (Arrays.asList(arguments).contains("--help")) {
      return help(arguments, console);
    }
    try {
      parser.parse(arguments);
    } catch (ParameterException failure) {
      console.err().println(failure.getMessage());
      console.err().println("Try: snipewick --help");
      return ExitCode.USAGE;
    }
    Command command = commands.get(parser.getParsedCommand());
    return command == null ? help(new String[0], console) : runCatchingFailures(command, console);
  }

  /**
   * Runs a command and returns {@link ExitCode#FAILED} if it throws, so that the process does not
   * exit with a code of another meaning.
   */
  private static ExitCode runCatchingFailures(Command command, Console console) {
    try {
      return command.run(console);
    } catch (FailureException failure) {
      console.err().println("failed: " + failure.failure().detail());
      return ExitCode.FAILED;
    } catch (RuntimeException defect) {
      console.err().println("failed: " + defect);
      return ExitCode.FAILED;
    }
  }

  private ExitCode help(String[] arguments, Console console) {
    StringBuilder text = new StringBuilder();
    if (arguments.length > 1 && commands.containsKey(arguments[0])) {
      parser.getUsageFormatter().usage(arguments[0], text);
    } else {
      parser.getUsageFormatter().usage(text);
    }
    console.out().println(text);
    return arguments.length == 0 ? ExitCode.USAGE : ExitCode.SUCCESS;
  }

  /**
   * Joins a command group and its command to one word, such as "catalogue get" to "catalogue-get".
   */
  private static String[] joinCommandGroup(String[] arguments) {
    if (arguments.length < 2
        || !COMMAND_GROUPS.contains(arguments[0])
        || arguments[1].startsWith("-")) {
      return arguments;
    }
    String[] result = Arrays.copyOfRange(arguments, 1, arguments.length);
    result[0] = arguments[0] + "-" + arguments[1];
    return result;
  }

  /** Options of the program itself. */
  private static final class GlobalOptions {
    @Parameter(names = "--help", description = "explain the program or a command", help = true)
    @SuppressWarnings("UnusedVariable") // read by JCommander
    private boolean help;
  }
}
