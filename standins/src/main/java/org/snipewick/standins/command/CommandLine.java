package org.snipewick.standins.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import org.snipewick.standins.server.StandInServer;

/** Parses the command line and runs the stand-in that it names. */
public final class CommandLine {
  private static final int SUCCESS = 0;
  private static final int FAILURE = 1;
  private static final int USAGE = 2;

  private final Map<String, StandInCommand> commands = new LinkedHashMap<>();
  private final JCommander parser;

  private CommandLine() {
    commands.put("platform", new PlatformCommand());
    commands.put("engine", new EngineCommand());
    commands.put("service", new ServiceCommand());
    JCommander.Builder builder = JCommander.newBuilder().programName("standins");
    commands.forEach(builder::addCommand);
    parser = builder.build();
  }

  /**
   * Runs a stand-in until it is stopped.
   *
   * @param arguments the command line
   * @param out receives a line with the kind and the address of the stand-in once it is ready
   * @return exit code: 0 after a graceful stop, 1 if the stand-in cannot start, 2 if the command
   *     line is invalid
   */
  public static int run(String[] arguments, PrintStream out) {
    CommandLine line = new CommandLine();
    try {
      line.parser.parse(arguments);
      return line.start(out);
    } catch (ParameterException | IllegalArgumentException invalid) {
      System.err.println(invalid.getMessage());
      line.parser.usage();
      return USAGE;
    } catch (IOException | java.io.UncheckedIOException failure) {
      System.err.println(failure.getMessage());
      return FAILURE;
    }
  }

  private int start(PrintStream out) throws IOException {
    String kind = parser.getParsedCommand();
    if (kind == null) {
      parser.usage();
      return USAGE;
    }
    StandInCommand command = commands.get(kind);
    if (command.help()) {
      parser.getCommands().get(kind).usage();
      return SUCCESS;
    }
    StandInServer server = StandInServer.start(command.port(), command.factory());
    Runtime.getRuntime().addShutdownHook(new Thread(server::close, "shutdown"));
    out.printf("ready %s %s:%d%n", kind, server.host(), server.port());
    out.flush();
    server.awaitEnd();
    return SUCCESS;
  }
}
