package org.snipewick.standins.command;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import org.snipewick.standins.server.StandIn;

/** Command that starts one kind of stand-in. */
abstract class StandInCommand {
  @Parameter(names = "--port", description = "port on 127.0.0.1, 0 for any free one")
  private int port;

  @Parameter(names = "--help", help = true, description = "explains the command")
  private boolean help;

  int port() {
    return port;
  }

  boolean help() {
    return help;
  }

  /**
   * Returns a factory that creates the stand-in with the settings of the command line.
   *
   * @throws IOException if a settings file cannot be read
   */
  abstract StandIn.Factory factory() throws IOException;
}
