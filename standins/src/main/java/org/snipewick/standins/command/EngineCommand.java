package org.snipewick.standins.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.snipewick.standins.engine.EngineSettings;
import org.snipewick.standins.engine.EngineStandIn;
import org.snipewick.standins.server.StandIn;

/** Command that starts a stand-in engine. */
@Parameters(commandDescription = "starts a model engine")
final class EngineCommand extends StandInCommand {
  @Parameter(names = "--id", required = true, description = "name of the replica")
  private String id;

  @Parameter(names = "--model", required = true, description = "model that is served")
  private String model;

  @Parameter(names = "--prefill-tokens-per-second", description = "prefill rate over all requests")
  private double prefillTokensPerSecond = 10_000;

  @Parameter(names = "--decode-millis-per-token", description = "decode time of one output token")
  private double decodeMillisPerToken = 5;

  @Parameter(names = "--max-in-flight", description = "maximum number of running requests")
  private int maxInFlight = 16;

  @Parameter(names = "--cache-tokens", description = "size of the prefix cache in tokens")
  private int cacheTokens = 65_536;

  @Parameter(names = "--kv-tokens", description = "capacity of the KV cache in tokens")
  private int kvTokens = 131_072;

  @Parameter(names = "--report-lag-millis", description = "age of load reports and cache events")
  private long reportLagMillis;

  @Parameter(names = "--checks-fencing", description = "rejects orders with an old fencing number")
  private boolean checksFencing;

  @Override
  StandIn.Factory factory() {
    return EngineStandIn.of(
        new EngineSettings(
            id,
            model,
            prefillTokensPerSecond,
            decodeMillisPerToken,
            maxInFlight,
            cacheTokens,
            kvTokens,
            reportLagMillis,
            checksFencing));
  }
}
