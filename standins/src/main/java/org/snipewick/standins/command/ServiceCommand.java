package org.snipewick.standins.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.snipewick.standins.server.StandIn;
import org.snipewick.standins.service.ServiceSettings;
import org.snipewick.standins.service.ServiceStandIn;

/** Starts a plain service. */
@Parameters(commandDescription = "starts a plain service")
final class ServiceCommand extends StandInCommand {
  @Parameter(names = "--id", required = true, description = "name of the replica")
  private String id;

  @Parameter(names = "--name", required = true, description = "name of the service")
  private String name;

  @Parameter(names = "--max-in-flight", description = "calls that run at once")
  private int maxInFlight = 64;

  @Parameter(names = "--work-millis", description = "time of one call")
  private long workMillis;

  @Override
  StandIn.Factory factory() {
    return ServiceStandIn.of(new ServiceSettings(id, name, maxInFlight, workMillis));
  }
}
