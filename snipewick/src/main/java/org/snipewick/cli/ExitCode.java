package org.snipewick.cli;

/** Exit code of the program. */
public enum ExitCode {
  /** The command succeeded. */
  SUCCESS(0),
  /** The request or a file was refused: a conflict, a missing permission, invalid content. */
  REFUSED(1),
  /** The command line, or a file named on it, cannot be parsed. */
  USAGE(2),
  /** The command failed: no connection, no response, a defect of the program. */
  FAILED(3);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /**
   * Returns the number with which the process exits.
   *
   * @return number from 0 to 3
   */
  public int number() {
    return number;
  }
}
