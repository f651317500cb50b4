package org.snipewick.standins;

import org.snipewick.standins.command.CommandLine;

/** Starts the program. */
public final class Main {
  private Main() {}

  /**
   * Runs the program.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    System.exit(CommandLine.run(arguments, System.out));
  }
}
