package org.snipewick.cli;

/** What the end of a command tells a program that ran it. */
public enum ExitCode {
  /** The command did what was asked. */
  SUCCESS(0),
  /** The other side understood and refused: a conflict, a missing permission, invalid content. */
  REFUSED(1),
  /** The command line can't be understood. */
  USAGE(2),
  /** Something failed: no connection, no answer, a defect. */
  FAILED(3);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /**
   * Returns the exit code of the process.
   *
   * @return number from 0 to 3
   */
  public int number() {
    return number;
  }
}
