package org.snipewick.standins;

import org.snipewick.standins.command.CommandLine;

/** Entry point of the program {@code standins}. */
public final class Main {
  private Main() {}

  /**
   * Runs the command line and exits with its exit code.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    System.exit(CommandLine.run(arguments, System.out));
  }
}
