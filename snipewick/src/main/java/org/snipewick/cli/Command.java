package org.snipewick.cli;

/** A command of the binary; JCommander fills in its options before it runs. */
interface Command {

  /**
   * Runs the command.
   *
   * @param console where to write
   * @return how it ended
   */
  ExitCode run(Console console);
}
