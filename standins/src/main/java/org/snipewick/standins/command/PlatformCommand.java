package org.snipewick.standins.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.File;
import java.io.IOException;
import org.snipewick.standins.platform.PlatformSettings;
import org.snipewick.standins.platform.PlatformStandIn;
import org.snipewick.standins.server.StandIn;

/** Command that starts the stand-in platform. */
@Parameters(commandDescription = "starts the platform")
final class PlatformCommand extends StandInCommand {
  @Parameter(names = "--settings", description = "YAML file that replaces the other flags")
  private File settings;

  @Parameter(names = "--writes-per-second", description = "write rate limit, 0 for the default")
  private double writesPerSecond;

  @Parameter(names = "--reads-per-second", description = "read rate limit, 0 for the default")
  private double readsPerSecond;

  @Parameter(
      names = "--list-lag-millis",
      description = "delay before a registration becomes visible")
  private long listLagMillis;

  @Override
  StandIn.Factory factory() throws IOException {
    return PlatformStandIn.of(
        settings == null
            ? new PlatformSettings(writesPerSecond, readsPerSecond, listLagMillis)
            : new ObjectMapper(new YAMLFactory()).readValue(settings, PlatformSettings.class));
  }
}
