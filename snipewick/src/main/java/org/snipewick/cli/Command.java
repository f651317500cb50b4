package org.snipewick.cli;

/** Command of the program. JCommander sets its options before it runs. */
interface Command {

  /**
   * Runs the command.
   *
   * @param console streams to write to
   * @return exit code of the program
   */
  ExitCode run(Console console);
}
