package org.snipewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.snipewick.placement.PoolPlacement;
import org.snipewick.platform.FrontProcess;

/** Runs the process of an instance on the users' platform until it is stopped. */
@Parameters(commandDescription = "run the process of an instance on the users' platform")
final class FrontCommand implements Command {
  private static final String FILE_VARIABLE = "SNIPEWICK_NODE_FILE";

  @Parameter(
      names = "--settings",
      description =
          "settings file in the platform's format; by default the one named by " + FILE_VARIABLE)
  private Path file;

  @Parameter(
      names = "--remote-cost-factor",
      description =
          "price of a request to another failure domain: factor by which endpoints there cost more"
              + " than local ones, at least 1")
  private double remoteCostFactor = PoolPlacement.DEFAULT_REMOTE_COST_FACTOR;

  @Parameter(
      names = "--hedge-share",
      description =
          "maximum share of a pool's requests, 0 to 1, that are sent to a second endpoint when the"
              + " response is slow; 0 for none")
  private double hedgeShare;

  @Override
  public ExitCode run(Console console) {
    String fileFromEnvironment = System.getenv(FILE_VARIABLE);
    if (file == null && fileFromEnvironment == null) {
      console.err().println("neither --settings nor " + FILE_VARIABLE + " names a file");
      return ExitCode.REFUSED;
    }
    if (!(remoteCostFactor >= 1 && Double.isFinite(remoteCostFactor))) {
      console.err().println("--remote-cost-factor is not a number from 1 on: " + remoteCostFactor);
      return ExitCode.REFUSED;
    }
    if (!(hedgeShare >= 0 && hedgeShare <= 1)) {
      console.err().println("--hedge-share must be between 0 and 1: " + hedgeShare);
      return ExitCode.REFUSED;
    }
    FrontProcess.run(
        file == null ? Path.of(fileFromEnvironment) : file, remoteCostFactor, hedgeShare);
    return ExitCode.SUCCESS;
  }
}
