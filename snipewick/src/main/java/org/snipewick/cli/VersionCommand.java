package org.snipewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Map;

/** Prints the version of the program. */
@Parameters(commandDescription = "print the version")
final class VersionCommand implements Command {
  private static final String VERSION = "0.1.0";

  @Parameter(names = "--json", description = "print JSON")
  private boolean json;

  @Override
  public ExitCode run(Console console) {
    if (json) {
      console.printJson(Map.of("version", VERSION));
    } else {
      console.out().println("snipewick " + VERSION);
    }
    return ExitCode.SUCCESS;
  }
}
