package org.snipewick.cli;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import org.snipewick.cli.OperatorClient.Reply;

/** Options shared by the commands that talk to the operators' address of an instance. */
final class OperatorOptions {
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);

  @Parameter(
      names = "--address",
      description = "operators' address of an entry instance, as host:port",
      validateWith = HostAndPort.class,
      required = true)
  private String address;

  @Parameter(
      names = "--token",
      description = "operator's bearer token; by default the variable SNIPEWICK_TOKEN")
  private String token;

  @Parameter(names = "--json", description = "write JSON")
  private boolean json;

  boolean json() {
    return json;
  }

  OperatorClient client() {
    return OperatorClient.of(address, effectiveToken(), ANSWER_TIMEOUT);
  }

  /** Returns a client that waits as long as the lease for orders may take to get. */
  OperatorClient orderClient() {
    return OperatorClient.of(address, effectiveToken(), ORDER_TIMEOUT);
  }

  /** Returns a client of another instance. */
  OperatorClient clientOf(String otherAddress) {
    return OperatorClient.of(otherAddress, effectiveToken(), ANSWER_TIMEOUT);
  }

  /** Prints a message, or the answer in JSON if asked for, and tells how the command ends. */
  ExitCode finish(Reply reply, Console console, String message) {
    if (!reply.isSuccess()) {
      return reply.report(console, json);
    }
    if (json) {
      console.printJson(((Reply.Answered) reply).body());
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
