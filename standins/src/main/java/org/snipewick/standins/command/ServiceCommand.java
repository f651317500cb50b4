package org.snipewick.standins.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.snipewick.standins.server.StandIn;
import org.snipewick.standins.service.ServiceSettings;
import org.snipewick.standins.service.ServiceStandIn;

/** Command that starts a stand-in service. */
@Parameters(commandDescription = "starts a plain service")
final class ServiceCommand extends StandInCommand {
  @Parameter(names = "--id", required = true, description = "name of the replica")
  private String id;

  @Parameter(names = "--name", required = true, description = "name of the service")
  private String name;

  @Parameter(names = "--max-in-flight", description = "maximum number of running calls")
  private int maxInFlight = 64;

  @Parameter(names = "--work-millis", description = "service time of a call")
  private long workMillis;

  @Override
  StandIn.Factory factory() {
    return ServiceStandIn.of(new ServiceSettings(id, name, maxInFlight, workMillis));
  }
}
