package org.snipewick.cli;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import org.snipewick.cli.OperatorClient.Response;

/** Options of the commands that send requests to the operators' address of an instance. */
final class OperatorOptions {
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);

  @Parameter(
      names = "--address",
      description = "operators' address of an entry instance, as host:port",
      validateWith = HostAndPortValidator.class,
      required = true)
  private String address;

  @Parameter(
      names = "--token",
      description = "operator's bearer token; by default the environment variable SNIPEWICK_TOKEN")
  private String token;

  @Parameter(names = "--json", description = "print JSON")
  private boolean json;

  boolean json() {
    return json;
  }

  OperatorClient client() {
    return OperatorClient.of(address, effectiveToken(), RESPONSE_TIMEOUT);
  }

  /** Returns a client whose timeout covers the acquisition of the lease that an order needs. */
  OperatorClient orderClient() {
    return OperatorClient.of(address, effectiveToken(), ORDER_TIMEOUT);
  }

  /** Returns a client of another instance, with the same token. */
  OperatorClient clientOf(String otherAddress) {
    return OperatorClient.of(otherAddress, effectiveToken(), RESPONSE_TIMEOUT);
  }

  /**
   * Prints the outcome of a command: after a success the message, or with --json the response's
   * body; otherwise the failure. Returns the exit code.
   */
  ExitCode finishCommand(Response response, Console console, String message) {
    if (!response.isSuccess()) {
      return response.report(console, json);
    }
    if (json) {
      console.printJson(((Response.Received) response).body());
    } else {
      console.out().println(message);
    }
    return ExitCode.SUCCESS;
  }

  private String effectiveToken() {
    String fromEnvironment = System.getenv("SNIPEWICK_TOKEN");
    return token != null ? token : fromEnvironment == null ? "" : fromEnvironment;
  }
}
